//! Tests of a PostgreSQL client with daemon processes in three availability zones.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rstest::rstest;
use sapphireslip_core::ServerRole;
use sapphireslipd::make_verifier;
use standins::{DaemonProgram, Fleet, FleetPlan, SERVERS_PER_GROUP, wait_for};
use tokio::runtime::Runtime;
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage};

/// The user that the document of the fleet declares.
const USER: &str = "till";
/// The password of [`USER`].
const PASSWORD: &str = "a counter by the door";

/// The time limit for a condition to become true.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The number of statements of a test; more than the home has connections, so that several
/// connections serve them.
const STATEMENTS: i64 = 40;

/// Runs a test with a fleet whose replicas lag behind their primary by 200 ms.
fn with_fleet(test: impl AsyncFnOnce(&Fleet)) {
    let runtime = Runtime::new().expect("a runtime");
    let program = DaemonProgram {
        path: env!("CARGO_BIN_EXE_sapphireslipd").into(),
        arguments: Vec::new(),
    };
    let plan = FleetPlan::new(program, USER, &make_verifier(PASSWORD));
    let plan = plan.lag(Duration::from_millis(200));
    runtime.block_on(async {
        let fleet = Fleet::start(plan).await.expect("starts");
        test(&fleet).await;
    });
}

/// Returns the configuration of a client of one daemon.
fn config(fleet: &Fleet, daemon: usize) -> Config {
    let address = fleet.clients(daemon);
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user(USER).password(PASSWORD).dbname("stock");
    config
}

/// Opens a connection.
async fn open(config: &Config) -> Result<Client, Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        let _closed = connection.await;
    });
    Ok(client)
}

/// Connects a client and creates a table as soon as writes succeed.
async fn connect_with_table(fleet: &Fleet) -> Client {
    let client = open(&config(fleet, 0)).await.expect("connects");
    let sql = "CREATE TABLE IF NOT EXISTS payment (id BIGINT, desk TEXT, paid BOOLEAN)";
    let create = async || client.batch_execute(sql).await.ok();
    wait_for("a table", TIMEOUT, create).await.expect("created");
    client
}

/// Returns the SQLSTATE of an error, or `none` if it has none.
fn code(error: &Error) -> &str {
    error.code().map_or("none", |code| code.code())
}

/// Counts the payments that meet a condition.
async fn count(client: &Client, condition: &str) -> i64 {
    let sql = format!("SELECT count(*) FROM payment WHERE {condition}");
    let row = client.query_one(&sql, &[]).await.expect("counted");
    row.get(0)
}

/// Returns a request key that was made now.
fn key(name: &str) -> String {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("{}.{name}", unix.expect("after 1970").as_secs())
}

#[test]
fn session_reads_its_write_on_another_daemon() {
    with_fleet(async |fleet| {
        let client = connect_with_table(fleet).await;
        client
            .batch_execute("INSERT INTO payment VALUES (1, 'xela', true)")
            .await
            .expect("written");
        let shown = client
            .simple_query("SHOW sapphireslip.token")
            .await
            .expect("shown");
        let token = shown.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0),
            _ => None,
        });
        let option = format!("-c sapphireslip.token={}", token.expect("a token"));
        for daemon in 1..fleet.daemons() {
            assert_ne!(fleet.zone(daemon), fleet.zone(0));
            let with_token = open(config(fleet, daemon).options(&option))
                .await
                .expect("connects");
            assert_eq!(count(&with_token, "id = 1").await, 1);
            let without = open(&config(fleet, daemon)).await.expect("connects");
            assert_eq!(count(&without, "id = 1").await, 1);
        }
    });
}

#[test]
fn prepared_statements_typed_and_used_again() {
    with_fleet(async |fleet| {
        let client = connect_with_table(fleet).await;
        let insert = "INSERT INTO payment VALUES ($1, $2, $3)";
        let insert = client.prepare(insert).await.expect("prepared");
        let select = "SELECT desk FROM payment WHERE id = $1";
        let select = client.prepare(select).await.expect("prepared");
        for id in 0..STATEMENTS {
            let desk = format!("desk {id}");
            let done = client.execute(&insert, &[&id, &desk, &(id % 2 == 0)]).await;
            assert_eq!(done.expect("inserted"), 1);
            let row = client.query_one(&select, &[&id]).await.expect("selected");
            assert_eq!(row.get::<_, String>(0), desk);
        }
        let selected = (0..STATEMENTS).map(|id| {
            let (client, select) = (&client, &select);
            async move { client.query_one(select, &[&id]).await }
        });
        for (id, row) in futures::future::join_all(selected)
            .await
            .into_iter()
            .enumerate()
        {
            let desk: String = row.expect("selected").get(0);
            assert_eq!(desk, format!("desk {id}"));
        }
    });
}

#[test]
fn prepared_statement_after_errors() {
    with_fleet(async |fleet| {
        let client = connect_with_table(fleet).await;
        let select = client
            .prepare("SELECT desk FROM payment WHERE id = $1")
            .await
            .expect("prepared");
        let error = client
            .prepare("SELECT colour FROM payment")
            .await
            .expect_err("refused");
        assert_eq!(code(&error), "42703");
        // Pipelined statements: only the one in the middle fails.
        let (first, failed, last) = tokio::join!(
            client.query(&select, &[&1_i64]),
            client.query("SELECT colour FROM payment WHERE id = $1", &[&1_i64]),
            client.query(&select, &[&2_i64]),
        );
        assert!(first.expect("answered").is_empty());
        assert_eq!(code(&failed.expect_err("refused")), "42703");
        assert!(last.expect("answered").is_empty());
    });
}

#[test]
fn prepared_statement_with_key() {
    with_fleet(async |fleet| {
        let client = connect_with_table(fleet).await;
        let insert = "INSERT INTO payment VALUES ($1, $2, $3)";
        let insert = client.prepare(insert).await.expect("prepared");
        let set = format!("SET sapphireslip.request_key = '{}'", key("repair-42"));
        let moved = open(&config(fleet, 1)).await.expect("connects");
        let moved_insert = moved
            .prepare("INSERT INTO payment VALUES ($1, $2, $3)")
            .await
            .expect("prepared");
        for (client, insert) in [
            (&client, &insert),
            (&client, &insert),
            (&moved, &moved_insert),
        ] {
            client.batch_execute(&set).await.expect("set");
            let done = client.execute(insert, &[&42_i64, &"warranty", &true]).await;
            assert_eq!(done.expect("answered as the first time"), 1);
        }
        assert_eq!(count(&moved, "id = 42").await, 1);
        // The key applied to one statement only.
        client
            .execute(&insert, &[&42_i64, &"warranty", &true])
            .await
            .expect("another payment");
        assert_eq!(count(&client, "id = 42").await, 2);
    });
}

#[rstest]
#[case::past_lifetime("1.repair-42", "23505")]
#[case::malformed("repair-42", "22023")]
fn key_refused(#[case] key: &str, #[case] sqlstate: &str) {
    with_fleet(async |fleet| {
        let client = connect_with_table(fleet).await;
        let sql = format!("/* sapphireslip key={key} */ INSERT INTO payment VALUES (1, 'x', true)");
        let error = client.batch_execute(&sql).await.expect_err("refused");
        let refusal = error.as_db_error().expect("an answer");
        assert_eq!(refusal.code().code(), sqlstate);
        assert_eq!(refusal.hint(), None, "there is no hint to retry");
        assert_eq!(count(&client, "id = 1").await, 0);
    });
}

#[test]
fn transaction_committed_failed_and_rolled_back() {
    with_fleet(async |fleet| {
        let mut client = connect_with_table(fleet).await;
        let transaction = client.transaction().await.expect("begun");
        for id in 1..=2_i64 {
            let done = transaction
                .execute("INSERT INTO payment VALUES ($1, 'mixco', true)", &[&id])
                .await;
            assert_eq!(done.expect("inserted"), 1);
        }
        transaction.commit().await.expect("committed");
        assert_eq!(count(&client, "desk = 'mixco'").await, 2);

        let transaction = client.transaction().await.expect("begun");
        transaction
            .batch_execute("INSERT INTO payment VALUES (3, 'mixco', true)")
            .await
            .expect("inserted");
        let error = transaction
            .batch_execute("INSERT INTO nowhere VALUES (3)")
            .await
            .expect_err("refused");
        assert_eq!(code(&error), "42P01");
        let error = transaction
            .batch_execute("SELECT 1")
            .await
            .expect_err("the transaction has failed");
        assert_eq!(code(&error), "25P02");
        transaction.rollback().await.expect("rolled back");
        assert_eq!(count(&client, "desk = 'mixco'").await, 2);
    });
}

/// A cancelled read is reported as not run if a replica executed it. At the primary it may have
/// called a function that writes, so its outcome is reported as unknown.
#[test]
fn statement_cancelled() {
    with_fleet(async |fleet| {
        let client = connect_with_table(fleet).await;
        let primary = async || {
            let is_primary =
                |server: &usize| fleet.group(0).status(*server).role == ServerRole::Primary;
            (0..SERVERS_PER_GROUP).find(is_primary)
        };
        let primary = wait_for("primary", TIMEOUT, primary)
            .await
            .expect("there is one");
        let primary = fleet.group(0).id(primary).to_string();
        let mut at_replica = false;
        let asked_until = std::time::Instant::now() + TIMEOUT;
        while !at_replica {
            assert!(
                std::time::Instant::now() < asked_until,
                "no replica served the read"
            );
            let (sqlstate, server) = cancel_sleep(fleet, &client).await;
            at_replica = server != primary;
            assert_eq!(sqlstate, if at_replica { "57014" } else { "08007" });
        }
        assert_eq!(count(&client, "id = 1").await, 0, "the session continues");
    });
}

/// Cancels a statement once a server runs it, and returns its SQLSTATE and the server.
async fn cancel_sleep(fleet: &Fleet, client: &Client) -> (String, String) {
    let before = servers_sent_to(fleet).await.len();
    let cancel = client.cancel_token();
    let started = std::time::Instant::now();
    let sleep = client.simple_query("SELECT pg_sleep(4)");
    let cancelled = async {
        let is_sent = async || servers_sent_to(fleet).await.into_iter().nth(before);
        let server = wait_for("the statement to run", TIMEOUT, is_sent)
            .await
            .expect("runs");
        cancel.cancel_query(NoTls).await.expect("asked");
        server
    };
    let (answer, server) = tokio::join!(sleep, cancelled);
    let error = answer.expect_err("cancelled");
    assert!(started.elapsed() < Duration::from_secs(4));
    (code(&error).to_owned(), server)
}

/// Returns the servers to which the first zone's home sent requests, in order.
async fn servers_sent_to(fleet: &Fleet) -> Vec<String> {
    let Ok(page) = standins::http_get(fleet.admin(0), "/timeline").await else {
        return Vec::new();
    };
    let page: serde_json::Value = serde_json::from_str(&page.body).unwrap_or_default();
    let entries = page["entries"].as_array().cloned().unwrap_or_default();
    let sent = entries
        .iter()
        .filter(|entry| entry["kind"] == "RequestSent");
    sent.filter_map(|entry| Some(entry["server"].as_str()?.to_owned()))
        .collect()
}

#[rstest]
#[case::password(USER, "wrong", "stock", "28P01")]
#[case::user("nobody", PASSWORD, "stock", "28P01")]
#[case::database(USER, PASSWORD, "nowhere", "3D000")]
fn connect_refused(
    #[case] user: &str,
    #[case] password: &str,
    #[case] database: &str,
    #[case] sqlstate: &str,
) {
    with_fleet(async |fleet| {
        let mut config = config(fleet, 2);
        config.user(user).password(password).dbname(database);
        let error = open(&config).await.expect_err("refused");
        assert_eq!(code(&error), sqlstate);
    });
}
