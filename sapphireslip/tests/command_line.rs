//! Help, shell completion, exit codes and the subcommands that work offline.

mod support;

use rstest::rstest;

use self::support::{DOCUMENT, SETTINGS, Sapphireslip};

#[rstest]
#[case::check("check")]
#[case::apply("apply")]
#[case::show("show")]
#[case::verifier("verifier")]
#[case::status("status")]
#[case::drain("drain")]
#[case::timeline("timeline")]
#[case::explain("explain")]
#[case::bench("bench")]
fn help_of(#[case] subcommand: &str) {
    let ran = Sapphireslip::new(subcommand)
        .arg("--help")
        .run()
        .succeeded();
    assert!(ran.stdout.contains("Usage: "), "{}", ran.stdout);
    let whole = Sapphireslip::new("--help").run().succeeded();
    assert!(whole.stdout.contains(subcommand), "{}", whole.stdout);
    assert!(
        whole.stdout.contains("Exit codes: 0 done;"),
        "{}",
        whole.stdout
    );
}

#[test]
fn completion_bash() {
    let ran = Sapphireslip::new("--bpaf-complete-style-bash")
        .run()
        .succeeded();
    assert!(ran.stdout.contains("complete"), "{}", ran.stdout);
    assert!(ran.stdout.contains("sapphireslip"), "{}", ran.stdout);
}

#[rstest]
#[case::settings(SETTINGS, "ok: settings of `vm-1`\n", "settings")]
#[case::document(DOCUMENT, "ok: service document of `shop`\n", "service document")]
fn check_good(#[case] text: &str, #[case] expected: &str, #[case] kind: &str) {
    let ran = Sapphireslip::new("check").file(text).run().succeeded();
    assert_eq!(ran.stdout, expected);
    let ran = Sapphireslip::new("check")
        .file(text)
        .json()
        .run()
        .succeeded();
    assert_eq!(ran.json()["kind"], kind);
}

#[test]
fn verifier_good() {
    let ran = Sapphireslip::new("verifier")
        .input("a secret\n")
        .run()
        .succeeded();
    let verifier = ran.stdout.trim_end();
    let document = format!("{DOCUMENT}\n[[caller]]\nname = \"till\"\nverifier = '{verifier}'\n");
    Sapphireslip::new("check").file(document).run().succeeded();
    let ran = Sapphireslip::new("verifier")
        .json()
        .input("a secret")
        .run()
        .succeeded();
    assert_ne!(ran.json()["verifier"], verifier, "both have the same salt");
}

#[rstest]
#[case::no_subcommand(Sapphireslip::new("--json"), 2)]
#[case::unknown_subcommand(Sapphireslip::new("chek"), 2)]
#[case::host_name(Sapphireslip::new("status").value("--admin", "localhost:1"), 2)]
#[case::no_file(Sapphireslip::new("check").arg("/nonexistent"), 2)]
#[case::no_password(Sapphireslip::new("verifier"), 2)]
#[case::no_daemon(Sapphireslip::new("status").value("--admin", "127.0.0.1:1"), 1)]
#[case::rate_zero(
    Sapphireslip::new("bench").value("--daemon", "127.0.0.1:1").value("--database", "stock")
        .value("--user", "till").value("--password", "x").value("--rate", 0),
    2
)]
fn exit_code(#[case] command: Sapphireslip, #[case] code: i32) {
    let ran = command.run().failed(code);
    assert_ne!(ran.stderr, "");
}
