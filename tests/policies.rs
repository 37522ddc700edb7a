//! The priorities that policy programs assign, depending on the facts of a request.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch::policy;
use doorswitch_core::config;

macro_rules! decides {
    ($($name:ident: $program:expr, $facts:expr => $priority:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let program = config::Policy { name: "p".to_owned(), program: $program.to_owned() };
                let decision = policy::Program::compile(&program).unwrap().decide(&$facts).unwrap();
                let policy::Decision::Allow { priority, .. } = decision else {
                    panic!("the program denies the request")
                };
                assert_eq!(priority, $priority);
            }
        )*
    };
}

fn facts() -> policy::Facts {
    policy::Facts::default()
}

decides! {
    a_small_answer: "if max_tokens > 1024 { allow(\"main\", 3, []) } else { allow(\"main\", 5, []) }",
        policy::Facts { max_tokens: 10, ..facts() } => 5;
    a_large_answer: "if max_tokens > 1024 { allow(\"main\", 3, []) } else { allow(\"main\", 5, []) }",
        policy::Facts { max_tokens: 2_000, ..facts() } => 3;
    a_workspace: "if workspace == \"canteens\" { allow(\"main\", 7, []) } else { allow(\"main\", 1, []) }",
        policy::Facts { workspace: "canteens".to_owned(), ..facts() } => 7;
    priorities_of_workspace_and_route: "allow(\"main\", workspace_priority * 3 + route_priority, [])",
        policy::Facts { workspace_priority: 2, route_priority: 1, ..facts() } => 7;
}
