// Executes the actions of the core: storage first, then messages, then the state machine.
#include "consensus/raft_driver.h"

#include "core/log.h"

#include <cstdlib>
#include <utility>

namespace mangoquay::consensus {
namespace {

core::revision to_revision(log_index index) {
    return core::revision(index);
}

std::string payload_of(const log_entry& entry) {
    return entry.m_kind == entry_kind::command ? entry.m_payload : std::string{};
}

} // namespace

std::uint64_t election_seed(std::uint64_t base, const core::entry_host_id& host) {
    // FNV-1a over the host id, with the base mixed into the offset basis.
    constexpr std::uint64_t offset = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t seed = offset ^ base;
    for (const char byte : host.value()) {
        seed = (seed ^ static_cast<unsigned char>(byte)) * prime;
    }
    return seed;
}

raft_driver::raft_driver(transport::event_loop& loop, driver_settings settings, message_sender sender)
    : m_loop(loop), m_settings(std::move(settings)), m_sender(std::move(sender)),
      m_on_failure([](const std::string&) { std::abort(); }), m_alive(std::make_shared<raft_driver*>(this)) {}

raft_driver::~raft_driver() {
    if (m_tick_timer) {
        m_loop.cancel_timer(*m_tick_timer);
    }
    m_alive.reset();
    m_storage.reset();
}

status raft_driver::start() {
    auto opened = durable_log::open(m_settings.m_data_folder);
    if (!opened) {
        return status::failure(opened.reason());
    }
    recovered_state recovered = (*opened)->take_recovered();
    raft_settings settings;
    settings.m_self = {m_settings.m_self, recovered.m_disk};
    settings.m_initial_hosts = m_settings.m_initial_hosts;
    settings.m_voter_target = m_settings.m_voter_target;
    settings.m_may_bootstrap = m_settings.m_may_bootstrap;
    settings.m_limits.m_kept_entries = m_settings.m_kept_entries;
    settings.m_timing = m_settings.m_timing;
    settings.m_seed = election_seed(m_settings.m_seed, m_settings.m_self);
    m_last_snapshot = recovered.m_snapshot.m_index;
    m_node = std::make_unique<raft_node>(std::move(settings), std::move(recovered), m_loop.now());
    const std::weak_ptr<raft_driver*> alive = m_alive;
    const auto post_to_loop = [this, alive](auto task) {
        m_loop.post([alive, task = std::move(task)] {
            if (const auto driver = alive.lock()) {
                task(**driver);
            }
        });
    };
    m_storage = std::make_unique<storage_worker>(
        std::move(*opened),
        [post_to_loop](std::uint64_t sequence) {
            post_to_loop([sequence](raft_driver& driver) { driver.step(storage_synced{sequence}); });
        },
        [post_to_loop](const std::string& reason) {
            post_to_loop([reason](raft_driver& driver) { driver.storage_failed(reason); });
        });
    core::log_line(core::log_level::info, "consensus",
                   "started disk=" + disk().value() +
                       " last_entry=" + std::to_string(m_node->log().last_index()));
    step(tick{});
    return std::monostate{};
}

void raft_driver::receive(const core::entry_host_id& from, const raft_message& message) {
    if (m_node) {
        step(message_received{from, message});
    }
}

void raft_driver::propose(std::string payload, propose_callback done) {
    m_queued.m_payloads.push_back(std::move(payload));
    m_queued.m_callbacks.push_back(std::move(done));
    if (m_flush_scheduled) {
        return;
    }
    // All proposals of one loop iteration are appended together and share one sync.
    m_flush_scheduled = true;
    m_loop.post([alive = std::weak_ptr(m_alive)] {
        if (const auto driver = alive.lock()) {
            (*driver)->flush_proposals();
        }
    });
}

void raft_driver::flush_proposals() {
    m_flush_scheduled = false;
    auto queued = std::exchange(m_queued, {});
    propose_batch batch;
    for (std::size_t index = 0; index < queued.m_payloads.size(); ++index) {
        std::string& payload = queued.m_payloads[index];
        if (!m_node || payload.empty() || payload.size() > max_payload_bytes) {
            queued.m_callbacks[index](std::nullopt);
            continue;
        }
        batch.m_payloads.push_back(std::move(payload));
        m_submitted_callbacks.push_back(std::move(queued.m_callbacks[index]));
    }
    if (!batch.m_payloads.empty()) {
        step(batch);
    }
}

status raft_driver::replace_host(const core::entry_host_id& lost, const core::entry_host_id& replacement) {
    if (!m_node) {
        return status::failure("the consensus driver is not started");
    }
    m_replace_failure = "the consensus core did not return an outcome";
    step(consensus::replace_host{lost, replacement});
    return m_replace_failure.empty() ? status(std::monostate{}) : status::failure(m_replace_failure);
}

void raft_driver::release_host(const core::entry_host_id& host) {
    if (m_node) {
        step(host_leaving{host});
    }
}

void raft_driver::abdicate() {
    if (m_node) {
        step(consensus::abdicate{});
    }
}

bool raft_driver::is_leader() const {
    return m_node && m_node->is_leader();
}

bool raft_driver::holds_lease(core::time_point now) const {
    // While commits are being delivered, the state machine has not applied all of them yet.
    return m_node && m_last_delivered >= m_node->applied_index() && m_node->holds_lease(now);
}

core::deadline raft_driver::lease_end(core::time_point now) const {
    return holds_lease(now) ? m_node->lease_end(now) : core::deadline{};
}

std::optional<core::entry_host_id> raft_driver::leader() const {
    return m_node && m_node->leader() ? std::optional(m_node->leader()->m_host) : std::nullopt;
}

const membership& raft_driver::members() const {
    static const membership none;
    return m_node ? m_node->members() : none;
}

core::revision raft_driver::committed() const {
    return to_revision(m_last_delivered);
}

std::optional<core::time_point> raft_driver::last_contact(const core::entry_host_id& voter) const {
    return m_node ? m_node->last_contact(voter) : std::nullopt;
}

disk_id raft_driver::disk() const {
    return m_node ? m_node->self().m_disk : disk_id{};
}

raft_term raft_driver::term() const {
    return m_node ? m_node->current_term() : raft_term{};
}

std::optional<std::vector<committed_entry>> raft_driver::entries_after(core::revision after,
                                                                       std::size_t limit) const {
    std::vector<committed_entry> entries;
    if (!m_node || after.value() >= m_last_delivered) {
        return entries;
    }
    if (after.value() + 1 < m_node->log().first_index()) {
        return std::nullopt;
    }
    for (log_index index = after.value() + 1; index <= m_last_delivered && entries.size() < limit; ++index) {
        entries.push_back({to_revision(index), payload_of(m_node->log().at(index))});
    }
    return entries;
}

void raft_driver::schedule_tick() {
    // Waits at least 1 ms, so that a deadline in the past does not make the loop spin.
    const auto due = std::max(m_node->next_tick(), m_loop.now() + core::milliseconds(1));
    if (m_tick_timer && m_tick_at <= due) {
        return;
    }
    if (m_tick_timer) {
        m_loop.cancel_timer(*m_tick_timer);
    }
    m_tick_at = due;
    m_tick_timer = m_loop.run_at(due, [this] {
        m_tick_timer.reset();
        step(tick{});
    });
}

void raft_driver::step(const raft_event& event) {
    execute_actions(m_node->step(event, m_loop.now()));
    schedule_tick();
}

void raft_driver::execute_actions(std::vector<raft_action> actions) {
    std::vector<storage_action> stored;
    for (raft_action& action : actions) {
        std::visit(
            [&stored]<class Action>(Action& typed_action) {
                if constexpr (std::is_constructible_v<storage_action, Action>) {
                    stored.emplace_back(std::move(typed_action));
                }
            },
            action);
    }
    if (!stored.empty()) {
        m_storage->enqueue(std::move(stored));
    }
    for (const raft_action& action : actions) {
        if (const auto* sent = std::get_if<send_message>(&action)) {
            m_sender(sent->m_to, sent->m_message);
        }
    }
    for (const raft_action& action : actions) {
        std::visit([this](const auto& typed_action) { execute_action(typed_action); }, action);
    }
    take_snapshot_if_due();
}

void raft_driver::execute_action(const restore_state& action) {
    m_last_delivered = action.m_index;
    m_last_snapshot = action.m_index;
    if (m_on_snapshot_installed) {
        m_on_snapshot_installed(to_revision(action.m_index), action.m_state);
    }
    complete_proposals(action.m_index, std::nullopt);
}

void raft_driver::execute_action(const apply_entries& action) {
    for (const log_entry& entry : action.m_entries) {
        m_last_delivered = entry.m_index;
        if (m_on_commit) {
            m_on_commit(to_revision(entry.m_index), payload_of(entry));
        }
        complete_proposals(entry.m_index, entry.m_term);
    }
}

void raft_driver::execute_action(const proposals_accepted& action) {
    auto callbacks = std::exchange(m_submitted_callbacks, {});
    for (std::size_t index = 0; index < callbacks.size(); ++index) {
        m_pending_proposals.push_back({action.m_first + index, action.m_term, std::move(callbacks[index])});
    }
}

void raft_driver::execute_action(const proposals_refused&) {
    for (const propose_callback& done : std::exchange(m_submitted_callbacks, {})) {
        done(std::nullopt);
    }
}

void raft_driver::execute_action(const became_leader&) {
    core::log_line(core::log_level::info, "consensus",
                   "became leader term=" + std::to_string(m_node->current_term().value()));
    if (m_on_leadership_changed) {
        m_on_leadership_changed(true);
    }
}

void raft_driver::execute_action(const stepped_down&) {
    core::log_line(core::log_level::info, "consensus",
                   "stepped down term=" + std::to_string(m_node->current_term().value()));
    for (pending_proposal& pending : std::exchange(m_pending_proposals, {})) {
        pending.m_done(std::nullopt);
    }
    if (m_on_leadership_changed) {
        m_on_leadership_changed(false);
    }
}

void raft_driver::execute_action(const replace_outcome& action) {
    m_replace_failure = action.m_reason;
}

// Calls back the proposals up to the applied entry `index`. `term` is empty when the entry was covered by a
// snapshot.
void raft_driver::complete_proposals(log_index index, std::optional<raft_term> term) {
    while (!m_pending_proposals.empty() && m_pending_proposals.front().m_index <= index) {
        const pending_proposal completed = std::move(m_pending_proposals.front());
        m_pending_proposals.pop_front();
        const bool committed = completed.m_index == index && completed.m_term == term;
        completed.m_done(committed ? std::optional(to_revision(index)) : std::nullopt);
    }
}

void raft_driver::take_snapshot_if_due() {
    // A handler that changes members gets here while commits are being delivered. The state machine then lags
    // behind the applied index, and its state must not be saved.
    const bool up_to_date = m_last_delivered == m_node->applied_index();
    if (!m_snapshot_source || !up_to_date ||
        m_last_delivered < m_last_snapshot + m_settings.m_snapshot_interval) {
        return;
    }
    m_last_snapshot = m_last_delivered;
    step(snapshot_taken{m_snapshot_source()});
}

void raft_driver::storage_failed(const std::string& reason) {
    core::log_line(core::log_level::error, "consensus", "storage failed: " + reason);
    m_on_failure(reason);
}

} // namespace mangoquay::consensus
