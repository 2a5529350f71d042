//! The settings of a daemon that takes the leaders of its services from the store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rstest::rstest;
use sapphireslip_lead::RateBounds;
use sapphireslipd::{
    LeadSettings, MILLICORES_DEFAULT, SERVER_DRAIN_BOUND_DEFAULT, SETTLE_TIME_DEFAULT,
};
use standins::line_settings;

/// Returns valid settings with another line before the first table.
fn with_line(line: &str) -> String {
    let platform = SocketAddr::from((Ipv4Addr::LOCALHOST, 443));
    let text = line_settings("vm-0", Ipv4Addr::LOCALHOST, platform);
    text.replacen("[store]", &format!("{line}\n[store]"), 1)
}

#[rstest]
#[case::left_out("", SERVER_DRAIN_BOUND_DEFAULT)]
#[case::in_milliseconds("server_drain_bound = \"4500ms\"", Duration::from_millis(4_500))]
fn server_drain_bound_is_read(#[case] line: &str, #[case] expected: Duration) {
    let settings = LeadSettings::try_from(with_line(line).as_bytes()).expect("without a fault");
    assert_eq!(settings.server_drain_bound, expected);
}

#[rstest]
#[case::too_short("999ms", "must be at least 1s, is `999ms`")]
#[case::too_long("61m", "must be at most 3600s, is `61m`")]
#[case::no_unit("7", "`7` is not a duration")]
fn server_drain_bound_is_refused(#[case] value: &str, #[case] expected: &str) {
    let text = with_line(&format!("server_drain_bound = \"{value}\""));
    let err = LeadSettings::try_from(text.as_bytes()).expect_err("a fault");
    assert!(err.to_string().contains(expected), "{err}");
}

#[rstest]
#[case::left_out("", SETTLE_TIME_DEFAULT)]
#[case::in_milliseconds("settle_time = \"6000ms\"", Duration::from_secs(6))]
fn settle_time_is_read(#[case] line: &str, #[case] expected: Duration) {
    let settings = LeadSettings::try_from(with_line(line).as_bytes()).expect("without a fault");
    assert_eq!(settings.settle_time, expected);
}

#[rstest]
#[case::left_out("", MILLICORES_DEFAULT)]
#[case::part_of_a_core("processor_share = \"0.12\"", 120)]
#[case::several_cores("processor_share = \"2\"", 2_000)]
#[case::least("processor_share = \"0.0001\"", 1)]
fn processor_share_is_read(#[case] line: &str, #[case] expected: u32) {
    let settings = LeadSettings::try_from(with_line(line).as_bytes()).expect("without a fault");
    assert_eq!(settings.millicores, expected);
}

#[rstest]
#[case::zero("0")]
#[case::negative("-0.5")]
#[case::not_finite("inf")]
#[case::not_a_number("NaN")]
#[case::words("half")]
fn processor_share_is_refused(#[case] value: &str) {
    let text = with_line(&format!("processor_share = \"{value}\""));
    let err = LeadSettings::try_from(text.as_bytes()).expect_err("a fault");
    let expected = format!("`{value}` is no share of a processor");
    assert!(err.to_string().contains(&expected), "{err}");
}

#[rstest]
#[case::left_out("", RateBounds::default())]
#[case::all(
    "rate_window = \"10s\"\nrate_overshoot = \"0.25\"\nrate_slack = \"40\"",
    RateBounds { window: Duration::from_secs(10), overshoot_millis: 250, slack: 40 },
)]
fn rate_bounds_are_read(#[case] lines: &str, #[case] expected: RateBounds) {
    let settings = LeadSettings::try_from(with_line(lines).as_bytes()).expect("without a fault");
    assert_eq!(settings.rates, expected);
    assert_eq!(settings.requires_accounts, !lines.is_empty());
}

#[rstest]
#[case::negative("rate_overshoot = \"-0.1\"", "`-0.1` is no number from 0 to 10")]
#[case::not_a_number("rate_slack = \"NaN\"", "`NaN` is no number from 0 to 1000000")]
#[case::too_short("rate_window = \"10ms\"", "must be at least 1s, is `10ms`")]
fn rate_bounds_are_refused(#[case] line: &str, #[case] expected: &str) {
    let err = LeadSettings::try_from(with_line(line).as_bytes()).expect_err("a fault");
    assert!(err.to_string().contains(expected), "{err}");
}
