// Guards against tasks that never run because a wake-up from another thread was lost, timers that run out of
// order, and cancelled timers that still run.
#include "transport/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace mangoquay;
using namespace std::chrono_literals;

class event_loop_order : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_loop_order);
    CPPUNIT_TEST(timers_run_by_deadline_and_cancelled_ones_do_not);
    CPPUNIT_TEST(tasks_posted_from_another_thread_run);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_loop_order);
