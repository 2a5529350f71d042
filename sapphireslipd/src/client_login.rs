//! The login of a session: password exchange, session token and server parameters.

use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage as Out;
use pgwire::messages::startup::Authentication;
use sapphireslip_core::{
    ClientEffect, ClientEvent, DatabaseName, Refusal, TransactionStatus, UserName,
};

use crate::client_error::ClientError;
use crate::client_messages::{
    Severity, put, put_cancel_key, put_parameter, put_ready, put_refusal,
};
use crate::client_session::{STEP_STATEMENT, Session};
use crate::client_startup::{CancelKey, STEP_STARTUP, Startup, authenticate};

impl Session {
    /// Checks the client's password and session token, and opens the session.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the connection, such as a wrong password.
    pub(crate) async fn log_in(&mut self, startup: &Startup) -> Result<(), ClientError> {
        let effect = tokio::select! {
            effect = self.links.effects.recv_async() => effect,
            error = self.wire.closed(STEP_STARTUP) => return Err(error),
        };
        let verifier = match effect {
            Ok(ClientEffect::Authenticate { verifier, .. }) => verifier,
            Ok(ClientEffect::Close { refusal, .. }) => return Err(self.end(&refusal).await),
            Ok(_) | Err(_) => return Err(ClientError::Dropped(STEP_STARTUP, self.wire.peer())),
        };
        authenticate(&mut self.wire, &startup.user, &verifier).await?;
        let token = match startup.token() {
            Ok(token) => token,
            Err(error) => {
                let message = error.to_string();
                return Err(self.wire.refuse(STEP_STARTUP, "22023", message).await);
            }
        };
        let user = UserName::try_from(startup.user.as_ref());
        let database = DatabaseName::try_from(startup.database.as_ref());
        let (Ok(user), Ok(database)) = (user, database) else {
            let message = "the user name or the database name is malformed";
            return Err(self.wire.refuse(STEP_STARTUP, "28000", message).await);
        };
        self.token = token;
        self.database = sapphireslip_core::Text::clone(&startup.database);
        self.links
            .send(ClientEvent::Opened {
                session: self.links.id,
                user,
                database,
                token,
            })
            .await;
        self.send_greeting().await
    }

    /// Reports that the login succeeded, with the server parameters and the cancel key.
    async fn send_greeting(&mut self) -> Result<(), ClientError> {
        let mut buf = BytesMut::new();
        put(&mut buf, &Out::Authentication(Authentication::Ok));
        let parameters = [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
            ("integer_datetimes", "on"),
            ("DateStyle", "ISO, MDY"),
            ("IntervalStyle", "postgres"),
            ("TimeZone", "UTC"),
        ];
        for (name, value) in parameters {
            put_parameter(&mut buf, name, value);
        }
        let CancelKey { process, secret } = self.links.cancel_key;
        put_cancel_key(&mut buf, process, secret);
        put_ready(&mut buf, TransactionStatus::Idle);
        self.wire.write(STEP_STARTUP, &buf).await
    }

    /// Sends the refusal that ends the session to the client; returns the error for the log.
    pub(crate) async fn end(&mut self, refusal: &Refusal) -> ClientError {
        let mut buf = BytesMut::new();
        put_refusal(&mut buf, Severity::Fatal, refusal);
        let peer = self.wire.peer();
        match self.wire.write(STEP_STATEMENT, &buf).await {
            Ok(()) => ClientError::Refused(
                STEP_STATEMENT,
                peer,
                refusal.sqlstate(),
                refusal.detail.to_string(),
            ),
            Err(error) => error,
        }
    }
}
