// Two lenders and one borrower.
#include "support/lending_world.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

constexpr std::size_t lenders = 2;
constexpr std::uint64_t links_per_lender = 1'000'000;
constexpr std::uint64_t lost_one_in = 300;
const core::entry_host_id borrowing_host("10.1.0.100");

core::entry_host_id lending_host(std::size_t place) {
    return core::entry_host_id("10.1.0." + std::to_string(place + 1));
}

} // namespace

class lending_world::lender_host final : public lending::lender_ports {
public:
    lender_host(lending_world& world, std::size_t place)
        : m_world(world), m_place(place), m_self(lending_host(place)), m_core(*this) {}

    relay::connection_id outside(lending::lender_link_id link) const {
        return relay::connection_id((m_place + 1) * links_per_lender + link.value());
    }

    void open_link(lending::lender_link_id link, const registry::endpoint_report& target) override {
        m_world.m_around.m_open(outside(link), target);
    }
    void send(lending::lender_link_id link, const std::vector<relay::database_request>& requests) override {
        m_world.m_around.m_send(outside(link), requests);
    }
    void close_link(lending::lender_link_id link) override { m_world.m_around.m_close(outside(link)); }
    void grant(const core::entry_host_id&, lending::loan_id loan, const lending::loan_offer& offer) override;
    void refuse(const core::entry_host_id&, lending::loan_id loan, lending::loan_refusal reason) override;
    void answer(const core::entry_host_id&, lending::loan_id loan, std::uint32_t number,
                const relay::database_answer& answer) override;
    void lost(const core::entry_host_id&, lending::loan_id loan, const std::string& reason) override;

    lending_world& m_world;
    std::size_t m_place;
    core::entry_host_id m_self;
    lending::lender m_core;
};

class lending_world::borrower_host final : public lending::borrower_ports {
public:
    explicit borrower_host(lending_world& world) : m_world(world), m_core(*this, 0) {}

    void ask(const core::entry_host_id& lender, lending::loan_id loan, const core::endpoint_id& endpoint,
             const lending::loan_terms& terms,
             const std::vector<relay::database_request>& first_work) override {
        lending::lender& at = lender_of(lender);
        m_world.deliver(lender, [this, &at, loan, endpoint, terms, first_work] {
            at.asked(borrowing_host, loan, endpoint, terms, first_work, m_world.m_around.m_now());
        });
    }
    void work(const core::entry_host_id& lender, lending::loan_id loan, std::uint32_t number,
              const std::vector<relay::database_request>& requests) override {
        lending::lender& at = lender_of(lender);
        m_world.deliver(lender, [this, &at, loan, number, requests] {
            at.worked(borrowing_host, loan, number, requests, m_world.m_around.m_now());
        });
    }
    void end(const core::entry_host_id& lender, lending::loan_id loan,
             const lending::link_remains& remains) override {
        lending::lender& at = lender_of(lender);
        lending::link_remains told = remains;
        told.m_holds_values = told.m_holds_values && !m_world.m_faults.m_keep_values;
        told.m_in_transaction = told.m_in_transaction && !m_world.m_faults.m_keep_transactions;
        m_world.deliver(lender, [this, &at, loan, told] {
            at.ended(borrowing_host, loan, told, m_world.m_around.m_now());
        });
    }
    void opened(relay::connection_id link, const lending::loan_offer& offer) override {
        m_world.m_core->on_connection_lent(link, offer, m_world.m_around.m_now());
    }
    void answered(relay::connection_id link, const relay::database_answer& answer) override {
        m_world.m_core->on_answer_received(link, answer, m_world.m_around.m_now());
    }
    void refused(relay::connection_id link, lending::loan_refusal reason) override {
        m_world.m_around.m_after({}, [this, link, reason] {
            m_world.m_core->on_loan_refused(link, reason, m_world.m_around.m_now());
        });
    }
    void lost(relay::connection_id link, const std::string& reason) override {
        m_world.m_around.m_after({}, [this, link, reason] {
            m_world.m_core->on_loan_lost(link, reason, m_world.m_around.m_now());
        });
    }

    lending::lender& lender_of(const core::entry_host_id& host) {
        return (*std::ranges::find_if(m_world.m_lenders,
                                      [&host](const auto& one) { return one->m_self == host; }))
            ->m_core;
    }

    lending_world& m_world;
    lending::borrower m_core;
};

void lending_world::lender_host::grant(const core::entry_host_id&, lending::loan_id loan,
                                       const lending::loan_offer& offer) {
    m_world.deliver(m_self, [this, loan, offer] { m_world.m_borrower->m_core.granted(m_self, loan, offer); });
}

void lending_world::lender_host::refuse(const core::entry_host_id&, lending::loan_id loan,
                                        lending::loan_refusal reason) {
    m_world.deliver(m_self, [this, loan, reason] {
        m_world.m_borrower->m_core.refused(m_self, loan, reason, m_world.m_around.m_now());
    });
}

void lending_world::lender_host::answer(const core::entry_host_id&, lending::loan_id loan,
                                        std::uint32_t number, const relay::database_answer& answer) {
    m_world.deliver(m_self, [this, loan, number, answer] {
        m_world.m_borrower->m_core.answered(m_self, loan, number, answer);
    });
}

void lending_world::lender_host::lost(const core::entry_host_id&, lending::loan_id loan,
                                      const std::string& reason) {
    m_world.deliver(m_self, [this, loan, reason] { m_world.m_borrower->m_core.lost(m_self, loan, reason); });
}

lending_world::lending_world(lending_surroundings around, lending_faults faults)
    : m_around(std::move(around)), m_faults(faults) {
    for (std::size_t place = 0; place < lenders; ++place) {
        m_lenders.push_back(std::make_unique<lender_host>(*this, place));
    }
    m_borrower = std::make_unique<borrower_host>(*this);
}

lending_world::~lending_world() = default;

void lending_world::use(relay::relay_core& core) {
    m_core = &core;
}

void lending_world::deliver(const core::entry_host_id& lender, std::function<void()> work) {
    if (m_faults.m_lose_messages && m_around.m_draw(lost_one_in) == 0) {
        return;
    }
    core::time_point& last = m_last_arrival[lender];
    last = std::max(last, m_around.m_now() + core::milliseconds(m_around.m_draw(3)));
    m_around.m_after(last - m_around.m_now(), std::move(work));
}

void lending_world::announce(const std::vector<registry::endpoint_report>& listed) {
    std::vector<lending::lent_endpoint> lent;
    lending::lenders_by_endpoint hosts;
    std::map<core::endpoint_id, std::uint32_t> kept;
    for (const registry::endpoint_report& report : listed) {
        lent.push_back({report, 3, 2});
        for (std::size_t place = 0; place < lenders; ++place) {
            hosts[report.m_id].push_back(lending_host(place));
        }
        kept[report.m_id] = 0;
    }
    for (const auto& lender : m_lenders) {
        lender->m_core.assign(lent, m_around.m_now());
    }
    m_borrower->m_core.lenders_changed(std::move(hosts));
    m_core->set_lent_endpoints(kept, m_around.m_now());
}

void lending_world::tick() {
    for (const auto& lender : m_lenders) {
        lender->m_core.tick(m_around.m_now());
    }
    m_borrower->m_core.tick(m_around.m_now());
}

void lending_world::lose_a_lender() {
    lender_host& lost = *m_lenders[m_around.m_draw(m_lenders.size())];
    lost.m_core.host_lost(borrowing_host, m_around.m_now());
    m_borrower->m_core.host_lost(lost.m_self, m_around.m_now());
}

void lending_world::borrow(relay::connection_id link, const core::endpoint_id& endpoint,
                           const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& first_work) {
    m_borrower->m_core.open(link, endpoint, terms, first_work, m_around.m_now());
}

void lending_world::give_back(relay::connection_id link, const lending::link_remains& remains) {
    if (m_borrower->m_core.holds(link)) {
        m_borrower->m_core.give_back(link, remains);
    }
}

bool lending_world::send(relay::connection_id link, const std::vector<relay::database_request>& requests) {
    const bool held = m_borrower->m_core.holds(link);
    if (held) {
        m_borrower->m_core.send(link, requests);
    }
    return held;
}

bool lending_world::close(relay::connection_id link) {
    const bool held = m_borrower->m_core.holds(link);
    if (held) {
        m_borrower->m_core.close(link);
    }
    return held;
}

bool lending_world::is_lenders(relay::connection_id link) {
    return link.value() >= links_per_lender;
}

void lending_world::database_opened(relay::connection_id link,
                                    std::optional<core::history_position> position) {
    m_lenders[link.value() / links_per_lender - 1]->m_core.link_opened(
        lending::lender_link_id(link.value() % links_per_lender), position, m_around.m_now());
}

void lending_world::database_answered(relay::connection_id link, const relay::database_answer& answer) {
    m_lenders[link.value() / links_per_lender - 1]->m_core.link_answered(
        lending::lender_link_id(link.value() % links_per_lender), answer, m_around.m_now());
}

void lending_world::database_failed(relay::connection_id link) {
    m_lenders[link.value() / links_per_lender - 1]->m_core.link_failed(
        lending::lender_link_id(link.value() % links_per_lender), std::nullopt, "connection lost",
        m_around.m_now());
}

} // namespace mangoquay::test
