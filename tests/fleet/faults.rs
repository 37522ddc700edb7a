//! Faults injected into a fleet: signals, kills and network partitions.

use super::{Fleet, eventually};
use std::process::Command;

impl Fleet {
    pub fn signal(&self, index: usize, signal: &str) {
        let child = self.routers[index].child.as_ref().unwrap();
        let status =
            Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.routers[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a router that received a stop signal exits; returns whether its exit status is success.
    pub fn wait_stopped(&mut self, index: usize) -> bool {
        let mut child = self.routers[index].child.take().unwrap();
        let mut status = None;
        eventually("the planned stop ends", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    /// Sets or removes a network partition between two sets of routers.
    pub fn cut_routers(&self, first: &[usize], second: &[usize], cut: bool) {
        for (receivers, senders) in [(first, second), (second, first)] {
            for index in receivers {
                self.routers[*index].proxy.change(|faults| {
                    for sender in senders {
                        let ip = self.routers[*sender].ip;
                        if cut {
                            faults.cut.insert(ip);
                        } else {
                            faults.cut.remove(&ip);
                        }
                    }
                });
            }
        }
    }

    /// Sets or removes a network partition between routers and the platform.
    pub fn cut_platform(&self, routers: &[usize], cut: bool) {
        self.platform_proxy.change(|faults| {
            for index in routers {
                let ip = self.routers[*index].ip;
                if cut {
                    faults.cut.insert(ip);
                } else {
                    faults.cut.remove(&ip);
                }
            }
        });
    }
}
