//! What is done to a fleet: signals, deaths and cuts.

use super::{Fleet, eventually};
use std::process::Command;

impl Fleet {
    pub fn signal(&self, place: usize, signal: &str) {
        let child = self.routers[place].child.as_ref().unwrap();
        let status =
            Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    pub fn kill(&mut self, place: usize) {
        if let Some(mut child) = self.routers[place].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for a planned stop to end; returns whether it ended well.
    pub fn wait_stopped(&mut self, place: usize) -> bool {
        let mut child = self.routers[place].child.take().unwrap();
        let mut status = None;
        eventually("the planned stop ends", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    /// Cuts two sets of routers off from each other.
    pub fn cut_routers(&self, one: &[usize], other: &[usize], cut: bool) {
        for (near, far) in [(one, other), (other, one)] {
            for place in near {
                self.routers[*place].proxy.change(|faults| {
                    for source in far {
                        let ip = self.routers[*source].ip;
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

    /// Cuts routers off from the platform.
    pub fn cut_platform(&self, places: &[usize], cut: bool) {
        self.platform_proxy.change(|faults| {
            for place in places {
                let ip = self.routers[*place].ip;
                if cut {
                    faults.cut.insert(ip);
                } else {
                    faults.cut.remove(&ip);
                }
            }
        });
    }
}
