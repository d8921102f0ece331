// The scripted surroundings of a relay core with customers.
#include "support/relay_with_customers.h"

#include "platform/line_protocol.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

using relay::request_kind;

constexpr double large_limit = 1e6;
const core::service_name service("stock");

documents::route_rule route(const std::string& database, bool is_public) {
    documents::route_rule made;
    made.m_database = database;
    made.m_statement_timeout = core::milliseconds(1000);
    made.m_target_latency = core::milliseconds(400);
    made.m_max_attempts = 2;
    made.m_service = service;
    made.m_public = is_public;
    return made;
}

documents::configuration configuration_of(const customer_document& document, std::uint64_t version) {
    documents::configuration made;
    made.m_version = documents::document_version(version);
    made.m_routes = {route("open", document.m_public)};
    if (document.m_has_closed_route) {
        made.m_routes.push_back(route("closed", false));
    }
    made.m_services = {{service, 32, 0}};
    if (!document.m_customers) {
        return made;
    }
    std::vector<documents::customer_rule> rules;
    for (const auto& [name, keys] : *document.m_customers) {
        documents::customer_rule rule;
        rule.m_name = core::customer_name(name);
        for (const std::string& key : keys) {
            rule.m_keys.push_back(documents::digest_of(key));
        }
        rule.m_rate_per_s = large_limit;
        rule.m_burst = large_limit;
        rules.push_back(rule);
    }
    made.m_customers = *documents::customer_directory::create(std::move(rules));
    return made;
}

std::string name_of(const std::optional<core::customer_name>& customer) {
    return customer ? customer->value() : "no customer";
}

} // namespace

relay_with_customers::relay_with_customers(const customer_document& first)
    : m_core(*this, {.m_zone = core::availability_zone("makati"), .m_entry_hosts = 4}) {
    configure(first);
}

void relay_with_customers::configure(const customer_document& next) {
    const bool lent = next.m_customers.has_value();
    m_document = next;
    update_callers();
    m_core.configure(configuration_of(next, ++m_version), m_now);
    m_core.set_lent_endpoints(lent ? std::map<core::endpoint_id, std::uint32_t>{{core::endpoint_id("db"), 0}}
                                   : std::map<core::endpoint_id, std::uint32_t>{},
                              m_now);
}

void relay_with_customers::list_database() {
    registry::endpoint_report primary;
    primary.m_id = core::endpoint_id("db");
    primary.m_service = service;
    primary.m_address = {"127.0.0.1", 1};
    primary.m_zone = core::availability_zone("makati");
    primary.m_slots = 4;
    primary.m_is_primary = true;
    primary.m_sequence = 1;
    m_core.on_endpoints_changed({primary}, m_now);
}

void relay_with_customers::grant_shares() {
    const auto request = m_core.next_quota_request(m_now);
    if (!request || !m_document.m_customers) {
        return;
    }
    quotas::quota_grant grant;
    grant.m_incarnation = request->m_incarnation;
    grant.m_number = request->m_number;
    for (const auto& [name, keys] : *m_document.m_customers) {
        grant.m_shares.push_back(
            {core::customer_name(name), {large_limit, large_limit}, large_limit, {large_limit, large_limit}});
    }
    m_core.on_quota_granted(grant, m_now);
}

relay::session_admission relay_with_customers::open(std::uint64_t session, const std::string& database,
                                                    const std::optional<std::string>& key) {
    caller_record caller{database, key, std::nullopt, false};
    const auto expected = identity(caller);
    const auto digest = key ? std::optional(documents::digest_of(*key)) : std::nullopt;
    const auto admission = m_core.on_session_opened(relay::session_id(session), database, digest);
    const bool has_route = database != "closed" || m_document.m_has_closed_route;
    if (has_route && (admission == relay::session_admission::accepted) != expected.has_value()) {
        fail("a session was accepted or refused against the document");
    }
    if (admission == relay::session_admission::accepted && expected) {
        caller.m_customer = *expected;
        m_callers[session] = std::move(caller);
        m_closed.erase(session);
    }
    return admission;
}

void relay_with_customers::send(std::uint64_t session, const std::string& id, const std::string& text) {
    m_sessions_of[id] = session;
    m_core.on_statement_received(relay::session_id(session), platform::decode_statement(id, text), m_now);
}

void relay_with_customers::close(std::uint64_t session) {
    m_callers.erase(session);
    m_core.on_session_closed(relay::session_id(session), m_now);
}

void relay_with_customers::open_connections() {
    for (const relay::connection_id id : std::exchange(m_opening, {})) {
        if (m_connections.contains(id)) {
            m_core.on_connection_opened(id, std::nullopt, m_now);
        }
    }
}

void relay_with_customers::lend() {
    for (const relay::connection_id id : requested_loans()) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end()) {
            found->second.m_requested = false;
            m_core.on_connection_lent(id, {}, m_now);
        }
    }
}

void relay_with_customers::refuse_loan(relay::connection_id id, lending::loan_refusal reason) {
    m_core.on_loan_refused(id, reason, m_now);
}

void relay_with_customers::lose(relay::connection_id id, bool of_lender) {
    if (of_lender) {
        m_core.on_loan_lost(id, "the lender is lost", m_now);
    } else {
        m_core.on_connection_failed(id, std::nullopt, m_now);
    }
}

void relay_with_customers::answer(relay::connection_id id, std::optional<relay::refusal> refusal) {
    database_connection& connection = m_connections.at(id);
    const relay::database_request request = connection.m_requests.front();
    connection.m_requests.pop_front();
    if (request.m_kind == request_kind::begin || request.m_kind == request_kind::begin_read_only) {
        connection.m_in_transaction = !refusal;
    }
    if (request.m_kind == request_kind::rollback || request.m_argument == "COMMIT") {
        connection.m_in_transaction = false;
    }
    const auto state =
        connection.m_in_transaction ? relay::transaction_state::open : relay::transaction_state::idle;
    m_core.on_answer_received(id, {.m_refusal = refusal, .m_state = state}, m_now);
}

void relay_with_customers::answer_preparations() {
    for (bool progress = true; progress;) {
        progress = false;
        for (const relay::connection_id id : unanswered_connections()) {
            const auto found = m_connections.find(id);
            if (found != m_connections.end() && !found->second.m_requests.empty() &&
                found->second.m_requests.front().m_id.empty()) {
                answer(id);
                progress = true;
            }
        }
    }
}

void relay_with_customers::run() {
    while (!m_opening.empty() || !requested_loans().empty() || !unanswered_connections().empty()) {
        open_connections();
        lend();
        for (const relay::connection_id id : unanswered_connections()) {
            const auto found = m_connections.find(id);
            if (found != m_connections.end() && !found->second.m_requests.empty()) {
                answer(id);
            }
        }
    }
}

void relay_with_customers::advance(core::milliseconds passed) {
    m_now += passed;
    m_core.tick(m_now);
}

std::vector<relay::connection_id> relay_with_customers::requested_loans() const {
    std::vector<relay::connection_id> all;
    for (const auto& [id, connection] : m_connections) {
        if (connection.m_requested) {
            all.push_back(id);
        }
    }
    return all;
}

std::vector<relay::connection_id> relay_with_customers::unanswered_connections() const {
    std::vector<relay::connection_id> all;
    for (const auto& [id, connection] : m_connections) {
        if (!connection.m_requested && !connection.m_requests.empty()) {
            all.push_back(id);
        }
    }
    return all;
}

std::size_t relay_with_customers::open_transactions() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_connections, [](const auto& one) { return one.second.m_in_transaction; }));
}

void relay_with_customers::send_answer(relay::session_id session, const relay::session_answer& answer) {
    if (m_closed.contains(session.value())) {
        fail("an answer to " + answer.m_request + " after its session was closed");
    }
    m_answers[session.value()].push_back({answer.m_request, answer.m_refusal, answer.m_state});
}

void relay_with_customers::close_session(relay::session_id session) {
    m_closed.insert(session.value());
    m_callers.erase(session.value());
}

void relay_with_customers::open_connection(relay::connection_id id, const registry::endpoint_report&) {
    m_connections[id] = {};
    m_opening.push_back(id);
}

void relay_with_customers::borrow_connection(relay::connection_id id, const core::endpoint_id&,
                                             const lending::loan_terms& terms,
                                             const std::vector<relay::database_request>& initial_requests) {
    database_connection& borrowed = m_connections[id];
    borrowed.m_customer = terms.m_customer;
    borrowed.m_any_customer = terms.m_any_customer;
    borrowed.m_requested = true;
    borrowed.m_requests.assign(initial_requests.begin(), initial_requests.end());
    for (const relay::database_request& request : initial_requests) {
        if (!request.m_id.empty()) {
            fail("the statement " + request.m_id + " was sent with a loan request");
        }
    }
}

void relay_with_customers::return_connection(relay::connection_id id, const lending::returned_state&) {
    m_connections.erase(id);
}

void relay_with_customers::send_requests(relay::connection_id id,
                                         const std::vector<relay::database_request>& requests) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        fail("a request on a connection that has ended");
        return;
    }
    for (const relay::database_request& request : requests) {
        found->second.m_requests.push_back(request);
        if (!request.m_id.empty()) {
            check_sent(found->second, request.m_id);
        }
    }
}

void relay_with_customers::close_connection(relay::connection_id id) {
    m_connections.erase(id);
}

std::optional<relay_with_customers::customer_or_none>
relay_with_customers::identity(const caller_record& caller) const {
    std::optional<customer_or_none> no_customer(std::in_place);
    if (!m_document.m_customers) {
        return no_customer;
    }
    for (const auto& [name, keys] : *m_document.m_customers) {
        if (caller.m_key && std::ranges::find(keys, *caller.m_key) != keys.end()) {
            return std::optional<customer_or_none>(std::in_place, core::customer_name(name));
        }
    }
    return caller.m_database == "open" && m_document.m_public ? no_customer : std::nullopt;
}

void relay_with_customers::update_callers() {
    for (auto& [session, caller] : m_callers) {
        const auto next = identity(caller);
        const bool moved = next && *next && caller.m_customer && *next != caller.m_customer;
        caller.m_ended = caller.m_ended || !next || moved;
        if (!caller.m_ended) {
            caller.m_customer = *next;
        }
    }
}

void relay_with_customers::check_sent(const database_connection& connection, const std::string& id) {
    ++m_sent_count;
    m_sent_ids.insert(id);
    const auto found = m_callers.find(m_sessions_of.at(id));
    if (found == m_callers.end()) {
        return; // A statement of a caller that has left.
    }
    if (found->second.m_ended) {
        fail(id + " was sent although its caller's key is not valid any more");
    } else if (connection.m_any_customer || connection.m_customer != found->second.m_customer) {
        fail(id + " of " + name_of(found->second.m_customer) + " was sent on a connection of " +
             name_of(connection.m_customer));
    }
}

void relay_with_customers::fail(const std::string& what) {
    if (m_violation.empty()) {
        m_violation = what;
    }
}

} // namespace mangoquay::test
