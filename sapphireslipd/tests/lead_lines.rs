//! Lines of clients that hold any bytes, at daemons over real connections.

mod line_site;

use line_site::Site;
use rstest::rstest;

/// Guards against a statement that no client sent: a line feed in the data of a statement ended its
/// line, and what follows ran as another statement.
#[tokio::test]
async fn line_feed_in_data_begins_no_statement() {
    let site = Site::start(&["vm-1"]).await;
    let data = "paid\nQUERY smuggled WRITE y never-sent";
    let mut clients = [
        site.client(0).await,
        site.forwarded_client(0, " crlf").await,
    ];
    for (n, client) in clients.iter_mut().enumerate() {
        let (id, write) = (format!("c{n}"), format!("WRITE x {data}"));
        assert_eq!(client.run(&id, &write).await, format!("COMPLETE {id} I"));
        let read = client.run("read", "READ x").await;
        assert_eq!(read, format!("ROW {data} COMPLETE read I"));
    }
    let expected = ("x".to_owned(), data.to_owned());
    assert_eq!(site.group.written(), [expected.clone(), expected]);
}

/// Guards against an answer that a daemon of an earlier build would split into several: it does not
/// say in its `START` line that it reads whole lines.
#[tokio::test]
async fn answer_with_a_line_feed_is_not_sent_to_an_earlier_build() {
    let site = Site::start(&["vm-1"]).await;
    let mut client = site.client(0).await;
    client.run("1", "WRITE x one\nREADY I -").await;
    let mut earlier = site.forwarded_client(0, "").await;
    assert_eq!(earlier.run("2", "READ y").await, "COMPLETE read I");
    assert_eq!(earlier.send("QUERY 3 READ x").await, "closed");
}

/// Guards against a session that ends, or a statement that runs in part, for a line that can't be read.
#[rstest]
#[case::not_utf8(
    b"QUERY 1 WRITE x a\xffb\r\n",
    "ERROR MALFORMED byte 18 of the line, 0xff, is not UTF-8"
)]
#[case::cut_off(
    b"QUERY 1 WRITE x \xe2\x80\r\n",
    "ERROR MALFORMED byte 17 of the line, 0xe2, is not UTF-8"
)]
#[case::no_identifier(
    b"QUERY  WRITE x 1\r\n",
    "ERROR MALFORMED the statement lacks an identifier of its own"
)]
#[case::of_the_proxy(
    b"QUERY - WRITE x 1\r\n",
    "ERROR MALFORMED the statement lacks an identifier of its own"
)]
#[tokio::test]
async fn unreadable_statement_is_refused_and_the_session_goes_on(
    #[case] line: &[u8],
    #[case] expected: &str,
) {
    let site = Site::start(&["vm-1"]).await;
    let clients = [
        site.client(0).await,
        site.forwarded_client(0, " crlf").await,
    ];
    for mut client in clients {
        assert_eq!(client.run("0", "BEGIN").await, "COMPLETE - T");
        client.session.send_bytes(line).await.expect("sent");
        assert_eq!(client.line().await, expected);
        assert_eq!(client.line().await, "READY T -");
        assert_eq!(client.run("2", "WRITE y 1").await, "COMPLETE write T");
        assert_eq!(client.run("3", "COMMIT").await, "COMPLETE 3 I");
    }
    let written = site.group.written();
    assert_eq!(
        written,
        [
            ("y".to_owned(), "1".to_owned()),
            ("y".to_owned(), "1".to_owned())
        ]
    );
}
