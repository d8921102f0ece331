// Guards against tasks that never run because a wake-up from another thread was lost, timers that run out of
// order, cancelled timers that still run, and deadlines that pass before what has arrived is read.
#include "transport/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <set>
#include <thread>
#include <vector>

using namespace mangoquay;
using namespace std::chrono_literals;

class event_loop_order : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_loop_order);
    CPPUNIT_TEST(timers_run_by_deadline_and_cancelled_ones_do_not);
    CPPUNIT_TEST(tasks_posted_from_another_thread_run);
    CPPUNIT_TEST(after_a_pause_all_ready_sockets_are_served_before_timers);
    CPPUNIT_TEST_SUITE_END();

public:
    void timers_run_by_deadline_and_cancelled_ones_do_not() {
        transport::event_loop loop;
        std::string order;
        loop.run_after(4ms, [&] { loop.stop(); });
        loop.run_after(2ms, [&] { order += 'b'; });
        loop.run_after(1ms, [&] { order += 'a'; });
        const auto cancelled = loop.run_after(1ms, [&] { order += 'x'; });
        loop.cancel_timer(cancelled);
        loop.run();
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), order);
    }

    void tasks_posted_from_another_thread_run() {
        transport::event_loop loop;
        int ran = 0;
        std::jthread poster([&] {
            for (int index = 0; index < 1000; ++index) {
                loop.post([&] { ++ran; });
            }
            loop.stop();
        });
        loop.run();
        CPPUNIT_ASSERT_EQUAL(1000, ran);
    }

    void after_a_pause_all_ready_sockets_are_served_before_timers() {
        transport::event_loop loop;
        std::vector<int> sockets;
        std::set<int> served;
        for (int index = 0; index < 300; ++index) {
            const int socket = sockets.emplace_back(eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK));
            loop.watch(socket, EPOLLIN, [&served, socket](std::uint32_t) { served.insert(socket); });
        }
        std::size_t served_by_deadline = 0;
        loop.run_after(1ms, [&] {
            served_by_deadline = served.size();
            loop.stop();
        });
        std::this_thread::sleep_for(300ms);
        loop.run();
        std::ranges::for_each(sockets, ::close);
        CPPUNIT_ASSERT_EQUAL(sockets.size(), served_by_deadline);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_loop_order);
