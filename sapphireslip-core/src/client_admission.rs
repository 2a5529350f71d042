//! Decides whether a client may open a session, before its password is asked for.

use crate::session::Session;
use crate::sessions::Sessions;
use crate::{
    DAEMON_SESSIONS_MAX, DatabaseName, Fleet, Freshness, NO_HOME_RETRY_AFTER, QUOTA_RETRY_AFTER,
    Refusal, RefusalReason, SessionId, Text, TransactionStatus, UserName,
};

/// A new session whose client may be asked for its password.
pub(crate) struct Admitted {
    /// The new session, without a user until the password is proved.
    pub session: Session,
    /// The verifier of the user's password.
    pub verifier: Text,
}

/// Checks the user and database that a client names and returns its new session.
///
/// # Errors
///
/// Returns the refusal of the client if the configuration, the database or the user is not known, or
/// if the service or daemon has reached its limit of sessions.
pub(crate) fn admit(
    sessions: &Sessions,
    fleet: Fleet<'_>,
    id: SessionId,
    user: &Text,
    database: &Text,
) -> Result<Admitted, Refusal> {
    if !fleet.configuration.is_known() {
        let detail = "this daemon does not know its configuration yet";
        return Err(Refusal::not_run(
            RefusalReason::NoHome,
            Some(NO_HOME_RETRY_AFTER),
            detail,
        ));
    }
    let unknown_database = || {
        let detail = format!("no database `{database}` is declared in any document");
        Refusal::not_run(RefusalReason::UnknownDatabase, None, &detail)
    };
    let name = DatabaseName::try_from(&**database).map_err(|_error| unknown_database())?;
    let document = fleet
        .configuration
        .document_of(&name)
        .ok_or_else(unknown_database)?;
    let bad_credentials = || {
        let detail = format!("password authentication failed for user `{user}`");
        Refusal::not_run(RefusalReason::BadCredentials, None, &detail)
    };
    let user_name = UserName::try_from(&**user).map_err(|_error| bad_credentials())?;
    let account = fleet
        .configuration
        .user(&name, &user_name)
        .ok_or_else(bad_credentials)?;
    let count_of_service = sessions.count_of_service(&document.service);
    let limit = usize::try_from(document.limits.sessions).unwrap_or(usize::MAX);
    let over_quota = if count_of_service >= limit {
        Some(format!(
            "service `{}` has {count_of_service} sessions at this daemon, which accepts no more of them",
            document.service
        ))
    } else if sessions.len() >= DAEMON_SESSIONS_MAX {
        Some(format!(
            "this daemon has {} sessions of all services and accepts no more",
            sessions.len()
        ))
    } else {
        None
    };
    if let Some(detail) = over_quota {
        return Err(Refusal::not_run(
            RefusalReason::Quota,
            Some(QUOTA_RETRY_AFTER),
            &detail,
        ));
    }
    let session = Session {
        id,
        service: document.service.clone(),
        database: name,
        user: None,
        freshness: Freshness::Probe,
        transaction: TransactionStatus::Idle,
        transaction_home: None,
        running: None,
    };
    Ok(Admitted {
        session,
        verifier: Text::clone(&account.verifier),
    })
}
