#include "database.h"

#include <algorithm>

namespace review {
namespace {

constexpr milliseconds heartbeat{1200};
constexpr milliseconds promote_time{800};

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

service::service(record& log_to, std::string service_name, int sync, std::vector<address> control_addresses)
    : log(log_to), name(std::move(service_name)), sync_replicas(sync), control(std::move(control_addresses)) {
    rows = [](const std::string& item) { return row_set{1, "row" + item}; };
    // "Replicas receive the commit over the network": a few milliseconds here.
    m_replication = std::thread([this] {
        while (m_running) {
            std::this_thread::sleep_for(milliseconds(4));
            const std::lock_guard lock(mutex);
            replicate();
        }
    });
}

service::~service() {
    m_failover.reset();
    for (std::thread& order : m_orders) {
        order.join();
    }
    for (const auto& one : databases) {
        one->crash();
    }
    m_running = false;
    m_replication.join();
}

void service::replicate() {
    const auto leader = std::ranges::find_if(databases, [](const auto& one) { return one->up && one->primary; });
    if (leader == databases.end()) {
        return;
    }
    for (const auto& one : databases) {
        if (one != *leader && one->up && !one->primary && !one->deaf && !one->paused) {
            one->log = (*leader)->log;
            one->term = (*leader)->term;
        }
    }
    changed.notify_all();
}

std::string service::position(const database& one) const {
    return std::to_string(one.log.empty() ? (one.primary ? one.term : 0) : one.log.back().term) + "." +
           std::to_string(one.log.size());
}

void service::acknowledge(const std::string& id) {
    const std::lock_guard lock(mutex);
    m_acknowledged.insert(id);
}

void service::serve_failover(const address& at) {
    m_failover = std::make_unique<listener>(at, [this](stream& peer) {
        const auto request = read_http(peer, milliseconds(1000));
        if (!request || request->path != "/failover") {
            return;
        }
        const std::string token = header(request->head, "mangoquay-fencing-token");
        const std::string id = json_text(request->body, "id");
        const int status = json_text(request->body, "service") != name ? 409 : decide(id, std::strtoul(token.c_str(), nullptr, 10));
        log.write("POST /failover id=" + id + " holder=" + header(request->head, "mangoquay-lease-holder") +
                  " token=" + token + " -> " + std::to_string(status));
        peer.send("HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    });
}

int service::decide(const std::string& id, unsigned long token) {
    const std::lock_guard lock(mutex);
    const auto target = std::ranges::find_if(databases, [&](const auto& one) { return one->id == id; });
    if (token < m_highest_token) {
        return 409;
    }
    m_highest_token = token;
    if (target == databases.end() || !(*target)->up) {
        return 409;
    }
    if (!(*target)->primary) {
        m_orders.emplace_back([this, id] {
            std::this_thread::sleep_for(promote_time);
            promote(id);
        });
    }
    return 200;
}

void service::promote(const std::string& id) {
    const std::lock_guard lock(mutex);
    const auto target = std::ranges::find_if(databases, [&](const auto& one) { return one->id == id; });
    if (!(*target)->up || (*target)->primary) {
        return;
    }
    long highest = 0;
    for (const auto& one : databases) {
        highest = std::max(highest, one->term);
        one->primary = false;
        one->m_report_now = true;
    }
    (*target)->primary = true;
    (*target)->paused = false;
    (*target)->term = highest + 1;
    std::set<std::string> held;
    for (const commit_entry& entry : (*target)->log) {
        held.insert(entry.id);
    }
    std::size_t missing = 0;
    std::string example;
    for (const std::string& one : m_acknowledged) {
        if (!held.contains(one)) {
            ++missing;
            example = one;
        }
    }
    ++m_promotions;
    log.write("promoted " + id + " in term " + std::to_string(highest + 1) + ", its log holds " +
              std::to_string(held.size()) + " commits; acknowledged commits that it lacks: " +
              std::to_string(missing) + (missing > 0 ? ", one of them " + example : ""));
    m_lost = std::max<std::size_t>(m_lost, missing);
    // What was ahead of it is rolled back.
    for (const auto& one : databases) {
        if (one->log.size() > (*target)->log.size()) {
            one->log = (*target)->log;
        }
    }
    changed.notify_all();
}

database::database(service& owner, std::string its_id, address its_address, std::string its_zone, bool is_primary)
    : id(std::move(its_id)), at(std::move(its_address)), zone(std::move(its_zone)), primary(is_primary),
      m_service(owner) {}

database::~database() {
    crash();
}

void database::start(bool reborn) {
    {
        const std::lock_guard lock(m_service.mutex);
        if (reborn) {
            log.clear();
            term = 0;
            paused = false;
        }
        m_born = unix_ms();
        m_sequence = 0;
        up = true;
        connections = 0;
    }
    m_running = true;
    m_listener = std::make_unique<listener>(at, [this](stream& peer) { serve(peer); });
    m_reports = std::thread([this] { report(); });
    const std::lock_guard lock(m_service.mutex);
    m_service.log.write("database " + id + " starts at " + at.text() + " as " + (primary ? "primary" : "replica") +
                        ", its log holds " + std::to_string(log.size()) + " commits" +
                        (m_listener->is_listening() ? "" : " BUT CAN'T LISTEN"));
}

void database::crash() {
    if (!m_running) {
        return;
    }
    {
        const std::lock_guard lock(m_service.mutex);
        up = false;
        m_service.log.write("database " + id + " ends, its log holds " + std::to_string(log.size()) + " commits");
    }
    m_running = false;
    m_service.changed.notify_all();
    m_listener.reset();
    m_reports.join();
}

void database::drain() {
    const std::lock_guard lock(m_service.mutex);
    draining = true;
    m_report_now = true;
    m_service.log.write("database " + id + " is draining");
}

void database::report() {
    std::size_t next = std::hash<std::string>{}(id);
    while (m_running) {
        std::string body;
        bool reports_drain = false;
        {
            const std::lock_guard lock(m_service.mutex);
            m_report_now = false;
            reports_drain = draining;
            body = "{\"service\":\"" + m_service.name + "\",\"address\":\"" + at.text() + "\",\"zone\":\"" + zone +
                   "\",\"version\":\"v1\",\"capacity\":5,\"state\":\"" + (draining ? "draining" : "ready") +
                   "\",\"cold-remaining-ms\":0,\"db-role\":\"" + (primary ? "primary" : "replica") +
                   "\",\"born\":" + std::to_string(m_born) + ",\"sequence\":" + std::to_string(++m_sequence) + "}";
        }
        for (std::size_t tries = 0; tries < m_service.control.size() && m_running; ++tries) {
            const address& to = m_service.control[next % m_service.control.size()];
            const auto answer =
                call_http(to, "POST", "/api/Instances.Heartbeat/" + id, body, milliseconds(1000));
            if (answer.status / 100 == 2) {
                if (reports_drain && drain_acked_s == 0) {
                    drain_acked_s = m_service.log.elapsed_s();
                    m_service.log.write("the state draining of " + id + " is acknowledged by " + to.text());
                }
                break;
            }
            ++next;
        }
        const auto wake = steady::now() + heartbeat;
        while (m_running && !m_report_now && steady::now() < wake) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
}

// One connection. A database of the stand-ins runs statements at once, after its time of work.
void database::serve(stream& peer) {
    const auto never = steady::now() + std::chrono::hours(1);
    auto line = peer.read_line(never);
    if (!line) {
        return;
    }
    const auto startup = split(*line, 4);
    if (startup.size() < 3 || startup[0] != "STARTUP" || startup[1] != m_service.name ||
        (startup.size() == 4 && startup[3] != id)) {
        peer.send("ERROR MISROUTED " + id + "\r\n");
        return;
    }
    if (hidden_from_control && startup[2].find("control") != std::string::npos) {
        return;
    }
    char state = 'I';
    bool read_only = false;
    std::vector<std::string> writes;
    std::unique_lock lock(m_service.mutex);
    ++connections;
    const auto ready = [&] {
        return std::string("READY ") + state + " " + m_service.position(*this) + "\r\n";
    };
    std::string out = ready();
    lock.unlock();
    peer.send(out);
    std::map<std::string, std::string> prepared; // name -> READ or WRITE
    while ((line = peer.read_line(never)) && *line != "TERMINATE") {
        const auto query = split(*line, 3);
        if (query.size() < 3 || query[0] != "QUERY") {
            m_service.log.write(id + " got an unreadable line: " + line->substr(0, 100));
            return;
        }
        const std::string& request = query[1];
        std::string text = query[2];
        if (request != "-" && m_service.on_arrival) {
            m_service.on_arrival(*this, request, text);
        }
        std::string after;
        if (text.starts_with("AFTER ")) {
            const auto parts = split(text, 3);
            after = parts[1];
            text = parts[2];
        }
        const auto words = split(text, 4);
        const std::string& word = words[0];
        std::string answer;
        const auto fail = [&](const std::string& error) {
            answer = "ERROR " + error + "\r\n";
            state = state == 'T' ? 'E' : state;
        };
        const auto done = [&] { answer += "COMPLETE s." + id + "." + request + "\r\n"; };
        lock.lock();
        const auto number = [](const std::string& place) {
            return std::strtoul(place.c_str() + place.find('.') + 1, nullptr, 10);
        };
        const bool lacks = !after.empty() && number(after) > log.size();
        const bool writes_text = word == "WRITE" || (word == "EXECUTE" && words.size() > 1 && prepared[words[1]] == "WRITE");
        const bool reads_text = word == "READ" || (word == "EXECUTE" && !writes_text);
        // Waits for the replica that has to receive a commit; false if the database ends first.
        const auto commit = [&](const std::string& of) {
            log.push_back({term, of});
            const std::size_t place = log.size();
            m_service.changed.wait(lock, [&] {
                const auto holding = std::ranges::count_if(m_service.databases, [&](const auto& other) {
                    return other.get() != this && other->up && other->log.size() >= place &&
                           other->log[place - 1].id == of;
                });
                return !up || !primary || holding >= m_service.sync_replicas;
            });
            return up && primary;
        };
        if (state == 'E' && word != "ROLLBACK" && word != "COMMIT") {
            answer = "ERROR MALFORMED the transaction failed\r\n";
        } else if (word == "BEGIN") {
            const bool wants_read = words.size() > 1 && words[1] == "READ";
            if (state != 'I') {
                answer = "ERROR MALFORMED open\r\n";
            } else if (!wants_read && !primary) {
                answer = "ERROR READONLY " + id + "\r\n";
            } else if (lacks) {
                answer = "ERROR LAGGING " + id + "\r\n";
            } else {
                state = 'T';
                read_only = wants_read;
                writes.clear();
                answer = "COMPLETE -\r\n";
            }
        } else if (word == "ROLLBACK" || (word == "COMMIT" && state == 'E')) {
            answer = word == "COMMIT" ? "ERROR ABORTED failed\r\n" : "COMPLETE -\r\n";
            state = 'I';
            writes.clear();
        } else if (word == "COMMIT" || writes_text || reads_text) {
            if (lacks) {
                fail("LAGGING " + id);
            } else if ((writes_text || (state == 'T' && !read_only && !(word == "COMMIT" && writes.empty()))) && !primary) {
                fail("READONLY " + id);
            } else {
                lock.unlock();
                std::this_thread::sleep_for(m_service.work);
                lock.lock();
                if (!up) {
                    break;
                }
                bool kept = true;
                if (reads_text) {
                    lock.unlock();
                    const row_set rows = m_service.rows(words.back());
                    bool sent = true;
                    for (std::size_t row = 0; sent && row < rows.count; ++row) {
                        sent = peer.send("ROW " + rows.text + "\r\n");
                    }
                    lock.lock();
                } else if (word == "COMMIT") {
                    kept = writes.empty() || commit(request);
                    state = 'I';
                } else if (state == 'T') {
                    writes.push_back(request);
                } else {
                    kept = commit(request);
                }
                if (!kept) {
                    break; // The lead or the life of the database ended: no answer.
                }
                done();
            }
        } else if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
            const long asked = words.size() > 1 ? std::atol(words[1].c_str()) : 0;
            if (word == "PAUSE" && !primary && asked > term) {
                paused = true;
            } else if (word == "RESUME") {
                paused = false;
            } else if (word == "STEPDOWN" && primary && term < asked) {
                primary = false;
                m_report_now = true;
                m_service.changed.notify_all();
            }
            answer = std::string("ROW ") + (primary ? "primary " : "replica ") + std::to_string(term) + " " +
                     m_service.position(*this) + " 0 0 0 " + std::to_string(connections) + "\r\nCOMPLETE -\r\n";
            if (word != "STATUS") {
                m_service.log.write(id + " got " + text + " from " + startup[2] + ": " +
                                    answer.substr(0, answer.find('\r')));
            }
        } else if (word == "SET" || word == "RESET" || word == "DEALLOCATE") {
            answer = "COMPLETE -\r\n";
        } else if (word == "PREPARE" && words.size() > 2) {
            prepared[words[1]] = words[2];
            answer = "COMPLETE -\r\n";
        } else {
            answer = "ERROR MALFORMED " + word + "\r\n";
        }
        answer += ready();
        lock.unlock();
        if (!peer.send(answer)) {
            break;
        }
    }
    if (lock.owns_lock()) {
        lock.unlock();
    }
    const std::lock_guard last(m_service.mutex);
    --connections;
}

} // namespace review
