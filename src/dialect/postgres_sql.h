// SQL statements that the proxy itself sends to PostgreSQL 15. They are defined in one place so that the
// stand-in server of the tests answers exactly the same statements.
#pragma once

namespace mangoquay::dialect::postgres_sql {

// Returns one row: in_recovery (t/f), timeline, applied position, durable position, primary_conninfo.
// A replica without a running WAL receiver reports the timeline of its last checkpoint, which may be too low
// but is never too high.
inline constexpr const char* status =
    "SELECT pg_is_in_recovery(), "
    "CASE WHEN pg_is_in_recovery() THEN coalesce((SELECT received_tli FROM pg_stat_wal_receiver), "
    "(SELECT timeline_id FROM pg_control_checkpoint())) "
    "ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END, "
    "CASE WHEN pg_is_in_recovery() THEN coalesce(pg_last_wal_replay_lsn(), '0/0') ELSE pg_current_wal_lsn() "
    "END, "
    "CASE WHEN pg_is_in_recovery() THEN coalesce(pg_last_wal_receive_lsn(), '0/0') ELSE "
    "pg_current_wal_flush_lsn() END, "
    "current_setting('primary_conninfo')";

// On a primary, returns one row per replica: application_name (the replica's endpoint id), flush_lsn.
inline constexpr const char* replica_positions =
    "SELECT application_name, flush_lsn FROM pg_stat_replication WHERE state = 'streaming' AND flush_lsn IS "
    "NOT NULL";

// After a commit on the same connection, returns a position at or past the commit record.
inline constexpr const char* current_position = "SELECT pg_current_wal_insert_lsn()";

// $1 is the owner's epoch. Ends the sessions of all earlier owners and returns one row per ended session.
inline constexpr const char* end_earlier_owners =
    "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name LIKE 'mangoquay/%' "
    "AND split_part(application_name, '/', 2)::bigint < $1::bigint";

// $1 is the process id of a session of this owner whose answer was lost. If no row is returned, the session
// has ended and no statement sent on it can still run.
inline constexpr const char* end_session =
    "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE pid = $1::int "
    "AND application_name LIKE 'mangoquay/%'";

// $1 and $2 are the Raft term and the attempt of a failover step. Ends the sessions of all earlier steps at
// this endpoint, so that a step of a paused leader never takes effect after a step of its successor.
inline constexpr const char* end_earlier_steps =
    "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name LIKE "
    "'mangoquay-control/%' "
    "AND (split_part(application_name, '/', 2)::bigint, split_part(application_name, '/', 3)::bigint) "
    "< ($1::bigint, $2::bigint)";

// The lock is held as long as the owner's monitoring connection is open. The key is the bytes of "mango".
inline constexpr const char* try_owner_lock = "SELECT pg_try_advisory_lock(469853695855)";

inline constexpr const char* begin_read_only = "BEGIN READ ONLY";
inline constexpr const char* begin = "BEGIN";
inline constexpr const char* commit = "COMMIT";
inline constexpr const char* rollback = "ROLLBACK";
inline constexpr const char* discard_session_state = "DISCARD ALL";

// Statements of a promotion. Since PostgreSQL 13 a reload is enough to change primary_conninfo.
inline constexpr const char* stop_following = "ALTER SYSTEM SET primary_conninfo = ''";
// The statement continues with a quoted connection string of host, port, user and application_name.
inline constexpr const char* follow_prefix = "ALTER SYSTEM SET primary_conninfo = ";
inline constexpr const char* reload_configuration = "SELECT pg_reload_conf()";
inline constexpr const char* count_wal_receivers = "SELECT count(*) FROM pg_stat_wal_receiver";
inline constexpr const char* promote = "SELECT pg_promote(true, 5)";

// Outcomes of requests with an idempotency key. They are recorded in the request's own transaction.
inline constexpr const char* create_outcomes =
    "CREATE TABLE IF NOT EXISTS mangoquay_outcomes (key text PRIMARY KEY, outcome text NOT NULL, "
    "recorded_at timestamptz NOT NULL DEFAULT now())";
// Waits for a concurrent transaction that inserts the same key. With 0 rows affected, the key exists already.
inline constexpr const char* claim_outcome =
    "INSERT INTO mangoquay_outcomes (key, outcome) VALUES ($1, '') ON CONFLICT (key) DO NOTHING";
inline constexpr const char* read_outcome = "SELECT outcome FROM mangoquay_outcomes WHERE key = $1";
inline constexpr const char* record_outcome = "UPDATE mangoquay_outcomes SET outcome = $2 WHERE key = $1";

} // namespace mangoquay::dialect::postgres_sql
