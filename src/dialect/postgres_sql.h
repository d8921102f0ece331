// The SQL that the proxy itself sends to PostgreSQL 15. Kept in one place so that the stand-in of the tests
// answers the same texts.
#pragma once

namespace mangoquay::dialect::postgres_sql {

// One row: in_recovery (t/f), timeline, applied position, durable position, primary_conninfo.
// A replica without a running receiver reports the timeline of its last checkpoint, which may be too low,
// never too high.
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

// On a primary, a row per replica: application_name (the endpoint id of the replica), flush_lsn.
inline constexpr const char* replica_positions =
    "SELECT application_name, flush_lsn FROM pg_stat_replication WHERE state = 'streaming' AND flush_lsn IS "
    "NOT NULL";

// After a commit on the same connection: a position at or past the commit record.
inline constexpr const char* current_position = "SELECT pg_current_wal_insert_lsn()";

// $1: the owner's epoch. Ends the sessions of all earlier owners; returns a row per session ended.
inline constexpr const char* end_earlier_owners =
    "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name LIKE 'mangoquay/%' "
    "AND split_part(application_name, '/', 2)::bigint < $1::bigint";

// $1: process id of a session of this owner whose answer was lost. No row: it has ended, and nothing that it
// was sent can still run.
inline constexpr const char* end_session =
    "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE pid = $1::int "
    "AND application_name LIKE 'mangoquay/%'";

// $1, $2: Raft term and attempt of a failover step. Ends the sessions of all earlier steps at this endpoint,
// so that a step of a leader that was frozen never takes effect after a step of its successor.
inline constexpr const char* end_earlier_steps =
    "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name LIKE "
    "'mangoquay-control/%' "
    "AND (split_part(application_name, '/', 2)::bigint, split_part(application_name, '/', 3)::bigint) "
    "< ($1::bigint, $2::bigint)";

// Held for the life of the owner's monitoring connection. The key is the bytes of "mango".
inline constexpr const char* try_owner_lock = "SELECT pg_try_advisory_lock(469853695855)";

inline constexpr const char* begin_read_only = "BEGIN READ ONLY";
inline constexpr const char* begin = "BEGIN";
inline constexpr const char* commit = "COMMIT";
inline constexpr const char* rollback = "ROLLBACK";
inline constexpr const char* discard_session_state = "DISCARD ALL";

// Promotion. primary_conninfo can be changed with a reload since PostgreSQL 13.
inline constexpr const char* stop_following = "ALTER SYSTEM SET primary_conninfo = ''";
// Followed by a quoted connection string of host, port, user and application_name.
inline constexpr const char* follow_prefix = "ALTER SYSTEM SET primary_conninfo = ";
inline constexpr const char* reload_configuration = "SELECT pg_reload_conf()";
inline constexpr const char* count_wal_receivers = "SELECT count(*) FROM pg_stat_wal_receiver";
inline constexpr const char* promote = "SELECT pg_promote(true, 5)";

// Outcomes of requests with an idempotency key, recorded in the transaction of the request itself.
inline constexpr const char* create_outcomes =
    "CREATE TABLE IF NOT EXISTS mangoquay_outcomes (key text PRIMARY KEY, outcome text NOT NULL, "
    "recorded_at timestamptz NOT NULL DEFAULT now())";
// Waits for a transaction in progress that holds the same key; 0 rows affected: the key is taken.
inline constexpr const char* claim_outcome =
    "INSERT INTO mangoquay_outcomes (key, outcome) VALUES ($1, '') ON CONFLICT (key) DO NOTHING";
inline constexpr const char* read_outcome = "SELECT outcome FROM mangoquay_outcomes WHERE key = $1";
inline constexpr const char* record_outcome = "UPDATE mangoquay_outcomes SET outcome = $2 WHERE key = $1";

} // namespace mangoquay::dialect::postgres_sql
