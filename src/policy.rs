//! Policy programs: short expressions that decide whether and how a request may run.
//!
//! A program is one expression of the Rhai language, without loops or statements, with limits on its operations, depth
//! and size. It evaluates to `allow(budget, priority, classes)` or `deny(reason)`. A program that fails at run time
//! denies the request.

use doorswitch_core::config;
use rhai::packages::Package;
use snafu::ResultExt;

const OPERATIONS_MAX: u64 = 10_000;
const DEPTH_MAX: usize = 32;
const STRING_BYTES_MAX: usize = 4_096;
const ARRAY_ITEMS_MAX: usize = 256;
const PRIORITY_MAX: i64 = 9;

/// The facts of a request that a program can use.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The workspace that sent the request.
    pub workspace: String,
    /// The service that the request is for.
    pub service: String,
    /// The model, or an empty text.
    pub model: String,
    /// The HTTP method of the request.
    pub method: String,
    /// The path within the service.
    pub path: String,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u64,
    /// The upper bound of the request's cost in tokens.
    pub bound_tokens: u64,
    /// The priority of the workspace; higher numbers take precedence.
    pub workspace_priority: u8,
    /// The priority of the route; higher numbers take precedence.
    pub route_priority: u8,
}

/// The decision of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Allow {
        /// The name of the workspace's budget that is charged.
        budget: String,
        /// The priority of the request, 0 to 9; higher numbers take precedence.
        priority: u8,
        /// The classes of VMs that may serve the request; all may if it is empty.
        classes: Vec<String>,
    },
    /// The request may not run.
    Deny {
        /// The reason, which the caller receives.
        reason: String,
    },
}

/// Why a program does not compile or has no valid decision.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("policy {name:?} does not compile: {source}"))]
    Compile { name: String, source: rhai::ParseError },
    #[snafu(display("policy {name:?} failed: {source}"))]
    Run { name: String, source: Box<rhai::EvalAltResult> },
    #[snafu(display(
        "policy {name:?} gave {found}, not allow(budget, priority, classes) or deny(reason)"
    ))]
    Result { name: String, found: String },
    #[snafu(display("policy {name:?} gave priority {found} (0 to 9 is allowed)"))]
    Priority { name: String, found: i64 },
}

/// The raw result of `allow` and `deny`, checked after the run.
#[derive(Clone, Debug)]
enum Raw {
    Allow { budget: String, priority: i64, classes: Vec<String> },
    Deny { reason: String },
}

/// A compiled program, which can run on several threads at once.
#[derive(Debug)]
pub struct Program {
    name: String,
    engine: rhai::Engine,
    ast: rhai::AST,
}

impl Program {
    /// Compiles the program of a policy.
    pub fn compile(policy: &config::Policy) -> Result<Self, Error> {
        let engine = engine();
        let scope = scope(&Facts::default());
        let ast = engine
            .compile_expression_with_scope(&scope, &policy.program)
            .context(CompileSnafu { name: policy.name.as_str() })?;
        Ok(Self { name: policy.name.clone(), engine, ast })
    }

    /// Runs the program for a request.
    pub fn decide(&self, facts: &Facts) -> Result<Decision, Error> {
        let name = self.name.as_str();
        let result: rhai::Dynamic = self
            .engine
            .eval_ast_with_scope(&mut scope(facts), &self.ast)
            .context(RunSnafu { name })?;
        let found = result.type_name();
        let raw = result
            .try_cast::<Raw>()
            .ok_or_else(|| Error::Result { name: name.to_owned(), found: found.to_owned() })?;
        match raw {
            Raw::Deny { reason } => Ok(Decision::Deny { reason }),
            Raw::Allow { budget, priority, classes } => {
                let in_range = (0..=PRIORITY_MAX).contains(&priority);
                snafu::ensure!(in_range, PrioritySnafu { name, found: priority });
                Ok(Decision::Allow { budget, priority: priority as u8, classes })
            }
        }
    }
}

/// Compiles each program of a document and runs it for each declared workspace; returns the problems found.
pub fn problems(document: &config::Document) -> Vec<config::Problem> {
    let mut problems = Vec::new();
    for policy in &document.policies {
        let field = format!("policies.{}.program", policy.name);
        match Program::compile(policy) {
            Err(error) => problems.push(problem(&field, &error)),
            Ok(program) => problems.extend(check_program(&field, &program, policy, document)),
        }
    }
    problems
}

fn check_program(
    field: &str,
    program: &Program,
    policy: &config::Policy,
    document: &config::Document,
) -> Vec<config::Problem> {
    let mut problems = Vec::new();
    for service in document.services.iter().filter(|service| service.policy == policy.name) {
        for workspace in &document.workspaces {
            let facts = Facts {
                workspace: workspace.name.clone(),
                service: service.name.clone(),
                model: service.models.first().cloned().unwrap_or_default(),
                method: "POST".to_owned(),
                path: "/".to_owned(),
                max_tokens: service.answer_tokens_max,
                bound_tokens: service.answer_tokens_max,
                workspace_priority: workspace.priority,
                route_priority: 0,
            };
            match program.decide(&facts) {
                Err(error) => problems.push(problem(field, &error)),
                Ok(Decision::Allow { budget, .. })
                    if !workspace.budgets.iter().any(|declared| declared.name == budget) =>
                {
                    let name = config::budget_name(&workspace.name, &budget);
                    let fault = config::Fault::Unknown(name);
                    problems.push(config::Problem { field: field.to_owned(), fault });
                }
                Ok(_) => {}
            }
        }
    }
    problems.dedup();
    problems
}

fn problem(field: &str, error: &Error) -> config::Problem {
    config::Problem { field: field.to_owned(), fault: config::Fault::Policy(error.to_string()) }
}

fn engine() -> rhai::Engine {
    let mut engine = rhai::Engine::new_raw();
    engine.register_global_module(rhai::packages::StandardPackage::new().as_shared_module());
    engine.set_strict_variables(true);
    // With optimization, a program would be folded to its decision for the empty facts that it is compiled with.
    engine.set_optimization_level(rhai::OptimizationLevel::None);
    engine.set_allow_looping(false);
    engine.set_max_operations(OPERATIONS_MAX);
    engine.set_max_expr_depths(DEPTH_MAX, DEPTH_MAX);
    engine.set_max_call_levels(DEPTH_MAX);
    engine.set_max_string_size(STRING_BYTES_MAX);
    engine.set_max_array_size(ARRAY_ITEMS_MAX);
    engine.set_max_map_size(ARRAY_ITEMS_MAX);
    engine.disable_symbol("eval");
    engine.register_fn("allow", |budget: &str, priority: i64, classes: rhai::Array| Raw::Allow {
        budget: budget.to_owned(),
        priority,
        classes: classes.into_iter().map(|class| class.to_string()).collect(),
    });
    engine.register_fn("deny", |reason: &str| Raw::Deny { reason: reason.to_owned() });
    engine
}

fn scope(facts: &Facts) -> rhai::Scope<'static> {
    let number = |tokens: u64| i64::try_from(tokens).unwrap_or(i64::MAX);
    let mut scope = rhai::Scope::new();
    scope.push_constant("workspace", facts.workspace.clone());
    scope.push_constant("service", facts.service.clone());
    scope.push_constant("model", facts.model.clone());
    scope.push_constant("method", facts.method.clone());
    scope.push_constant("path", facts.path.clone());
    scope.push_constant("max_tokens", number(facts.max_tokens));
    scope.push_constant("bound_tokens", number(facts.bound_tokens));
    scope.push_constant("workspace_priority", i64::from(facts.workspace_priority));
    scope.push_constant("route_priority", i64::from(facts.route_priority));
    scope
}
