// Databases and links of the simulated world.
#include "support/relay_world.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

using relay::refusal;
using relay::request_kind;
using relay::session_statement;
using relay::statement_kind;
using relay::transaction_state;

constexpr const char* service = "ledger";
constexpr core::milliseconds largest_age{400};
constexpr std::size_t callers = 5;

documents::configuration configuration_of(std::uint32_t connections) {
    documents::configuration chosen;
    chosen.m_version = documents::document_version(1);
    const documents::consistency kinds[] = {documents::consistency::latest,
                                            documents::consistency::bounded_age,
                                            documents::consistency::read_your_writes};
    for (std::size_t place = 0; place < 3; ++place) {
        documents::route_rule route;
        route.m_database = "database" + std::to_string(place);
        route.m_consistency = kinds[place];
        route.m_statement_limit = core::milliseconds(1000);
        route.m_target_latency = core::milliseconds(300);
        route.m_attempts = 2;
        route.m_largest_age = largest_age;
        route.m_service = core::service_name(service);
        chosen.m_routes.push_back(route);
    }
    chosen.m_services.push_back({core::service_name(service), connections, 0});
    chosen.m_transaction_idle_limit = core::milliseconds(2000);
    return chosen;
}

std::uint64_t attempt_of(const std::string& id) {
    return std::stoull(id.substr(0, id.find('-')));
}

} // namespace

relay_world::relay_world(relay_world_options options)
    : m_options(options), m_random(options.m_seed), m_operations_left(options.m_operations) {
    relay::relay_limits limits;
    limits.m_zone = core::availability_zone("zone0");
    limits.m_entry_hosts = 4;
    relay::relay_ports& ports = *this;
    m_core = std::make_unique<relay::relay_core>(ports, limits);
    if (options.m_lent_links) {
        lending_environment around;
        around.m_schedule = [this](core::duration delay, std::function<void()> work) {
            at(delay, std::move(work));
        };
        around.m_now = [this] { return m_now; };
        around.m_random_below = [this](std::uint64_t below) { return draw(below); };
        around.m_open_connection = [this](auto link, const auto& target) { connect(link, target); };
        around.m_send_requests = [this](auto link, const auto& requests) {
            send_to_database(link, requests);
        };
        around.m_close_connection = [this](auto link) { disconnect(link); };
        m_lending = std::make_unique<lending_simulation>(
            around, lending_faults{options.m_link_faults, options.m_planted.m_keep_lent_values,
                                   options.m_planted.m_keep_lent_transactions});
        m_lending->set_core(*m_core);
    }
    for (std::uint32_t place = 0; place < options.m_databases; ++place) {
        database one;
        one.m_report.m_id = core::endpoint_id("db" + std::to_string(place));
        one.m_report.m_service = core::service_name(service);
        one.m_report.m_address = {"10.0.0." + std::to_string(place + 1), 5000};
        one.m_report.m_zone = core::availability_zone("zone" + std::to_string(place % 3));
        one.m_report.m_slots = 4;
        one.m_report.m_sequence = 1;
        one.m_leads = place == 0;
        one.m_report.m_is_primary = one.m_leads;
        m_databases.push_back(one);
    }
}

relay_world::~relay_world() = default;

void relay_world::at(core::duration delay, std::function<void()> work) {
    m_events.emplace(event{m_now + delay, ++m_event_number}, std::move(work));
}

std::uint64_t relay_world::draw(std::uint64_t below) {
    return m_random() % below;
}

void relay_world::violate(const std::string& what) {
    if (m_violation.empty()) {
        m_violation = what + " seed=" + std::to_string(m_options.m_seed);
    }
}

void relay_world::run() {
    m_core->configure(configuration_of(m_options.m_connections), m_now);
    announce();
    const std::function<void()> tick = [this, &tick] {
        m_core->tick(m_now);
        if (m_lending) {
            m_lending->tick();
        }
        replicate();
        at(core::milliseconds(10), tick);
    };
    tick();
    const std::function<void()> trouble = [this, &trouble] {
        disturb();
        at(core::milliseconds(40 + draw(300)), trouble);
    };
    at(core::milliseconds(300), trouble);
    for (std::size_t place = 0; place < callers; ++place) {
        at(core::milliseconds(100 + draw(50)), [this] { start_operation(0); });
    }
    const core::time_point end = m_now + std::chrono::minutes(3);
    while (m_now < end && m_violation.empty() && (m_operations_left > 0 || !m_callers.empty())) {
        const auto next = m_events.begin();
        m_now = next->first.first;
        const auto work = std::move(next->second);
        m_events.erase(next);
        work();
    }
    if (!m_callers.empty()) {
        violate("a statement was never answered");
    }
    for (const std::uint64_t attempt : m_promised) {
        if (m_committed.contains(attempt)) {
            violate("a write is kept although its caller was told that it is not");
        }
    }
}

// Databases.

core::history_position relay_world::position_of(const database& one) {
    const core::history_position position{core::term(one.m_term), core::log_position(one.m_log.size())};
    m_last_commit[position] = one.m_log.empty() ? 0 : one.m_log.back().m_attempt;
    return position;
}

// A log holds a position when it has the same commit at that place: what a promotion discarded is not held.
bool relay_world::holds(const database& one, const core::history_position& position) const {
    const std::uint64_t length = position.m_position.value();
    if (length == 0) {
        return true;
    }
    return one.m_log.size() >= length && one.m_log[length - 1].m_attempt == m_last_commit.at(position);
}

void relay_world::replicate() {
    for (database& one : m_databases) {
        const database* leader = nullptr;
        for (const database& other : m_databases) {
            leader = other.m_leads ? &other : leader;
        }
        if (leader == nullptr || one.m_leads || draw(static_cast<std::uint64_t>(one.m_lag_ms)) > 15) {
            continue;
        }
        one.m_log = leader->m_log;
        one.m_term = leader->m_term;
    }
}

void relay_world::promote() {
    std::vector<std::size_t> replicas;
    for (std::size_t place = 0; place < m_databases.size(); ++place) {
        if (!m_databases[place].m_leads) {
            replicas.push_back(place);
        }
    }
    if (replicas.empty()) {
        return;
    }
    const std::size_t chosen = replicas[draw(replicas.size())];
    const std::vector<commit> kept = m_databases[chosen].m_log;
    std::uint32_t newest = 0;
    for (database& one : m_databases) {
        newest = std::max(newest, one.m_term);
        for (const commit& entry : one.m_log) {
            const bool stays = std::ranges::any_of(
                kept, [&](const commit& held) { return held.m_attempt == entry.m_attempt; });
            if (!stays) {
                m_rolled_back.insert(entry.m_attempt);
            }
        }
        one.m_leads = false;
    }
    database& leader = m_databases[chosen];
    leader.m_leads = true;
    leader.m_term = newest + 1;
    // The new leader announces itself at once or a little later; the old one may not know for long.
    at(core::milliseconds(draw(900)), [this] { announce(); });
}

void relay_world::announce() {
    std::vector<registry::endpoint_report> listed;
    for (database& one : m_databases) {
        one.m_report.m_is_primary = one.m_leads;
        ++one.m_report.m_sequence;
        listed.push_back(one.m_report);
    }
    m_core->endpoints_changed(listed, m_now);
    if (m_lending) {
        m_lending->announce_endpoints(listed);
    }
}

void relay_world::disturb() {
    if (m_options.m_promotions && chance(15)) {
        promote();
    }
    if (m_options.m_lag && chance(20)) {
        m_databases[draw(m_databases.size())].m_lag_ms = chance(50) ? 60 : 2500;
    }
    if (!m_options.m_link_faults || m_links.empty() || !chance(50)) {
        return;
    }
    if (m_lending && chance(20)) {
        m_lending->disconnect_random_lender();
        return;
    }
    auto hit = m_links.begin();
    std::advance(hit, static_cast<std::ptrdiff_t>(draw(m_links.size())));
    if (chance(40)) {
        hit->second->m_silent = true;
        return;
    }
    const relay::link_id number = hit->first;
    hit->second->m_gone = true;
    m_links.erase(hit);
    at(core::milliseconds(draw(20)), [this, number] { database_failed(number); });
}

void relay_world::database_failed(relay::link_id link) {
    if (lending_simulation::is_lender_connection(link)) {
        m_lending->on_connection_failed(link);
    } else {
        m_core->link_failed(link, std::nullopt, m_now);
    }
}

void relay_world::open_link(relay::link_id link, const registry::endpoint_report& target) {
    if (m_lending) {
        violate("a link was opened to an endpoint whose links are lent");
    }
    connect(link, target);
}

void relay_world::borrow_link(relay::link_id link, const core::endpoint_id& endpoint,
                              const lending::loan_terms& terms,
                              const std::vector<relay::database_request>& first_work) {
    m_lending->borrow(link, endpoint, terms, first_work);
}

void relay_world::give_back(relay::link_id link, const lending::returned_state& remains) {
    m_lending->return_connection(link, remains);
}

void relay_world::connect(relay::link_id link, const registry::endpoint_report& target) {
    auto session = std::make_shared<server_session>();
    for (std::size_t place = 0; place < m_databases.size(); ++place) {
        if (m_databases[place].m_report.m_id == target.m_id) {
            session->m_database = place;
        }
    }
    m_links[link] = session;
    at(core::milliseconds(12), [this, link, session] {
        if (m_links.contains(link) && !session->m_silent) {
            const core::history_position position = position_of(m_databases[session->m_database]);
            if (lending_simulation::is_lender_connection(link)) {
                m_lending->on_connection_opened(link, position);
            } else {
                m_core->link_opened(link, position, m_now);
            }
        }
    });
}

void relay_world::close_link(relay::link_id link) {
    if (!m_lending || !m_lending->close(link)) {
        disconnect(link);
    }
}

void relay_world::disconnect(relay::link_id link) {
    const auto found = m_links.find(link);
    if (found != m_links.end()) {
        found->second->m_gone = true;
        m_links.erase(found);
    }
}

void relay_world::send(relay::link_id link, const std::vector<relay::database_request>& requests) {
    if (!m_lending) {
        send_to_database(link, requests);
        return;
    }
    m_lending->send(link, requests); // a link that was lost is not held; its loss is reported soon
}

void relay_world::send_to_database(relay::link_id link,
                                   const std::vector<relay::database_request>& requests) {
    const auto found = m_links.find(link);
    if (found == m_links.end()) {
        return;
    }
    const std::shared_ptr<server_session> session = found->second;
    for (const relay::database_request& request : requests) {
        const core::time_point arrives = m_now + core::milliseconds(1 + draw(3));
        const core::time_point starts = std::max(arrives, session->m_free_at);
        const core::duration work = core::milliseconds(request.m_id.empty() ? 0 : 1 + draw(40));
        session->m_free_at = starts + work;
        at(starts + work - m_now, [this, link, session, request] {
            if (session->m_gone) {
                return; // the connection broke before the request arrived
            }
            const relay::database_answer given = execute(*session, request);
            if (session->m_silent || (m_options.m_link_faults && draw(400) == 0)) {
                session->m_silent = true; // it ran and its answer is lost
                return;
            }
            at(core::milliseconds(1), [this, link, session, given] {
                if (session->m_gone || !m_links.contains(link)) {
                    return;
                }
                if (lending_simulation::is_lender_connection(link)) {
                    m_lending->on_connection_answered(link, given);
                } else {
                    m_core->link_answered(link, given, m_now);
                }
            });
        });
    }
}

relay::database_answer relay_world::execute(server_session& session, const relay::database_request& request) {
    database& own = m_databases[session.m_database];
    relay::database_answer answer;
    answer.m_text = "-";
    const auto state = [&] {
        answer.m_state = session.m_failed           ? transaction_state::failed
                         : session.m_in_transaction ? transaction_state::open
                                                    : transaction_state::idle;
        answer.m_position = position_of(own);
        return answer;
    };
    const bool checks_position = request.m_least_position && !m_options.m_planted.m_drop_positions;
    if (checks_position && !holds(own, *request.m_least_position)) {
        answer.m_refusal = refusal::lagging;
        return state();
    }
    switch (request.m_kind) {
    case request_kind::reset:
        session.m_values.clear();
        session.m_prepared.clear();
        return state();
    case request_kind::set_value:
        if (!m_options.m_planted.m_drop_values) {
            session.m_values[request.m_name] = request.m_argument;
        }
        return state();
    case request_kind::prepare:
        session.m_prepared[request.m_name] = request.m_argument;
        return state();
    case request_kind::begin:
    case request_kind::begin_read_only:
        session.m_plain = request.m_kind == request_kind::begin;
        if (session.m_plain && !own.m_leads && !m_options.m_planted.m_drop_fences) {
            answer.m_refusal = refusal::read_only;
            return state();
        }
        session.m_in_transaction = true;
        session.m_failed = false;
        session.m_begun_term = own.m_term;
        session.m_attempt = 0;
        session.m_writes.clear();
        return state();
    case request_kind::rollback:
        session.m_in_transaction = false;
        session.m_failed = false;
        session.m_writes.clear();
        return state();
    default:
        answer = execute_statement(session, request, request.m_argument, answer);
        return state();
    }
}

void relay_world::check_place(const server_session& session, std::uint64_t attempt) {
    const auto owner = m_callers.find(m_session_of.at(attempt));
    if (owner == m_callers.end() || owner->second.m_attempt != attempt) {
        return; // its caller has moved on
    }
    if (owner->second.m_transaction && !session.m_in_transaction) {
        violate("a statement ran outside its transaction");
    }
    if (session.m_in_transaction && session.m_attempt != 0 && session.m_attempt != attempt) {
        violate("a statement ran inside another caller's transaction");
    }
    if (session.m_values != owner->second.m_values) {
        violate("a statement ran with other session values");
    }
}

// The database of the session runs a read of the attempt now.
void relay_world::check_read(const server_session& session, std::uint64_t attempt) {
    const database& own = m_databases[session.m_database];
    const auto owner = m_callers.find(m_session_of.at(attempt));
    if (owner == m_callers.end() || owner->second.m_attempt != attempt) {
        return;
    }
    for (const acknowledged& one : m_acknowledged) {
        const bool own_commit = one.m_session == owner->first;
        const bool must_see =
            owner->second.m_route == 0 ? one.m_at < owner->second.m_started
            : one.m_at + largest_age < owner->second.m_started
                ? true
                : owner->second.m_route == 2 && own_commit && one.m_at < owner->second.m_started;
        const bool held = std::ranges::any_of(
            own.m_log, [&](const commit& entry) { return entry.m_attempt == one.m_attempt; });
        if (must_see && !held && !m_rolled_back.contains(one.m_attempt)) {
            violate("a read lacks an acknowledged commit route=" + std::to_string(owner->second.m_route));
        }
    }
}

relay::database_answer relay_world::execute_statement(server_session& session,
                                                      const relay::database_request& request,
                                                      const std::string& text, relay::database_answer base) {
    database& own = m_databases[session.m_database];
    const std::uint64_t attempt = attempt_of(request.m_id);
    const bool executes = request.m_kind == request_kind::execute;
    const bool writes = executes ? request.m_name.starts_with("w_") : text.starts_with("WRITE");
    const bool commits = text == "COMMIT" && !executes;
    const auto refuse = [&](refusal reason) {
        base.m_refusal = reason;
        session.m_failed = session.m_in_transaction;
        return base;
    };
    if (executes && !session.m_prepared.contains(request.m_name)) {
        violate("a prepared statement is unknown on its link");
    }
    check_place(session, attempt);
    if (draw(60) == 0) {
        base.m_refusal = refusal::busy;
        return base;
    }
    const bool lost_lead = session.m_in_transaction && session.m_plain &&
                           (!own.m_leads || own.m_term != session.m_begun_term) &&
                           !m_options.m_planted.m_drop_fences;
    if ((lost_lead && !(commits && session.m_writes.empty())) || (writes && !own.m_leads)) {
        return refuse(refusal::read_only);
    }
    session.m_attempt = attempt;
    base.m_text = "signature of " + request.m_id;
    if (commits) {
        session.m_in_transaction = false;
        if (!session.m_writes.empty()) {
            own.m_log.push_back({attempt, own.m_term});
        }
    } else if (writes && session.m_in_transaction) {
        session.m_writes.push_back(attempt);
        return base;
    } else if (writes) {
        own.m_log.push_back({attempt, own.m_term});
    } else {
        check_read(session, attempt);
        return base;
    }
    if (!commits || !session.m_writes.empty()) {
        if (++m_committed[attempt] > 1) {
            violate("a write took effect twice");
        }
        session.m_writes.clear();
    }
    return base;
}

} // namespace mangoquay::test
