#include "coordination/entry/crash_tracker.hpp"

#include <gtest/gtest.h>

#include <string>

namespace carawayturn::entry
{
namespace
{

time_point at(int ms)
{
    return time_point{} + std::chrono::milliseconds(100000 + ms);
}

class crash_tracker_test : public testing::Test
{
protected:
    void crash(std::string const& server, int ms) { crash(server, request_, ms); }

    void crash(std::string const& server, crash_signatures const& signatures, int ms)
    {
        tracker_.note_broken_attempt(server, signatures, at(ms));
        tracker_.note_crash(server, at(ms + 100));
    }

    /// A request that differs from all others but for these parts of its prompt.
    [[nodiscard]] static crash_signatures
    different_request(std::vector<std::string> const& parts)
    {
        static int number = 0;
        crash_signatures signatures;
        signatures.request =
            request_signature("/" + std::to_string(++number), "org", "body");
        for (auto const& part : parts)
            signatures.parts.push_back(part_signature("service", part));
        return signatures;
    }

    [[nodiscard]] bool is_part_blocked(crash_tracker const& tracker,
                                       std::string const& part) const
    {
        return tracker.is_blocked(different_request({part}));
    }

    /// Blocks the part at this instance.
    void block(std::string const& part, int ms)
    {
        for (int i = 0; i < 3; ++i)
            crash("s" + std::to_string(i), different_request({part}), ms + 100 * i);
    }

    crash_signatures const request_{request_signature("/a", "org", "body"), {}};
    crash_tracker tracker_;
};

// Guards against a request that crashes one server after the other.
TEST_F(crash_tracker_test, request_in_flight_at_three_crashes_is_blocked)
{
    crash("s1", 0);
    crash("s2", 1000);
    EXPECT_FALSE(tracker_.is_blocked(request_));
    crash("s3", 2000);
    EXPECT_TRUE(tracker_.is_blocked(request_));
    EXPECT_FALSE(tracker_.is_blocked({request_signature("/a", "org", "other"), {}}));
}

// Guards against requests that are blocked because connections to live servers broke.
TEST_F(crash_tracker_test, broken_connection_of_a_live_server_does_not_count)
{
    for (int i = 0; i < 10; ++i)
        tracker_.note_broken_attempt("s1", request_, at(i));
    tracker_.note_crash("s1", at(5000));
    EXPECT_FALSE(tracker_.is_blocked(request_));
}

// Guards against an instance that admits a request that crashed servers at other
// instances.
TEST_F(crash_tracker_test, crashes_of_other_instances_count)
{
    fleet_crash_tracker fleet;
    for (int i = 0; i < 3; ++i)
        fleet.add_reports({{request_.request, "s" + std::to_string(i)}}, at(150 * i));
    tracker_.merge_fleet_counts(fleet.suspects(at(310)), {}, at(310));
    EXPECT_TRUE(tracker_.is_blocked(request_));
}

// Guards against requests that are refused because equal ones were in flight at several
// instances when several servers lost their power.
TEST_F(crash_tracker_test, simultaneous_crashes_of_servers_count_once)
{
    fleet_crash_tracker fleet;
    for (int i = 0; i < 8; ++i)
        fleet.add_reports({{request_.request, "s" + std::to_string(i)}}, at(10 * i));
    EXPECT_TRUE(fleet.suspects(at(100)).empty());
    for (int i = 0; i < 8; ++i)
        crash("s" + std::to_string(i), request_, 10 * i);
    EXPECT_FALSE(tracker_.is_blocked(request_));
}

// Guards against harmless requests that are refused for minutes because several equal
// ones were in flight when one server restarted (soak seeds 10 and 11).
TEST_F(crash_tracker_test, equal_requests_at_one_crash_count_once)
{
    for (int i = 0; i < 5; ++i)
        tracker_.note_broken_attempt("s1", request_, at(i));
    tracker_.note_crash("s1", at(100));
    EXPECT_FALSE(tracker_.is_blocked(request_));
    EXPECT_EQ(tracker_.take_new_reports().size(), 1U);
}

// Guards against one crash that is counted once for each instance that detected it.
TEST_F(crash_tracker_test, one_crash_seen_by_many_instances_counts_once)
{
    fleet_crash_tracker fleet;
    for (int i = 0; i < 5; ++i)
        fleet.add_reports({{request_.request, "s1"}}, at(100 * i));
    EXPECT_TRUE(fleet.suspects(at(600)).empty());
    fleet.add_reports({{request_.request, "s1"}}, at(6000));
    EXPECT_EQ(fleet.suspects(at(6000)).size(), 1U);
}

// Guards against a suspicion that remains after an equal request was answered.
TEST_F(crash_tracker_test, answered_request_is_cleared_at_every_instance)
{
    crash("s1", 0);
    crash("s2", 1000);
    fleet_crash_tracker fleet;
    fleet.add_reports(tracker_.take_new_reports(), at(1100));
    crash_tracker other;
    other.merge_fleet_counts(fleet.suspects(at(1200)), fleet.cleared(at(1200)), at(1200));
    tracker_.note_answered(request_, true, at(1250));
    fleet.note_cleared(tracker_.take_cleared(), at(1300));
    other.merge_fleet_counts(fleet.suspects(at(1400)), fleet.cleared(at(1400)), at(1400));
    crash("s3", 2000);
    EXPECT_FALSE(tracker_.is_blocked(request_));
    other.note_broken_attempt("s3", request_, at(2000));
    other.note_crash("s3", at(2100));
    EXPECT_FALSE(other.is_blocked(request_));
}

// Guards against requests that keep crashing servers because no two of them are alike.
TEST_F(crash_tracker_test, part_shared_by_different_requests_is_blocked)
{
    crash("s1", different_request({"a", "bad"}), 0);
    crash("s2", different_request({"b", "c", "bad"}), 200);
    EXPECT_FALSE(is_part_blocked(tracker_, "bad"));
    crash("s3", different_request({"bad", "d"}), 400);
    EXPECT_TRUE(is_part_blocked(tracker_, "bad"));
    for (auto const* const part : {"a", "b", "c", "d"})
        EXPECT_FALSE(is_part_blocked(tracker_, part)) << part;
    EXPECT_FALSE(tracker_.is_blocked({0, {part_signature("other service", "bad")}}));
}

// Guards against sound requests that are refused because they share a part with harmful
// ones.
TEST_F(crash_tracker_test, part_that_is_answered_in_between_is_not_blocked)
{
    for (int i = 0; i < 10; ++i)
    {
        crash("s" + std::to_string(i), different_request({"shared", "bad"}), 200 * i);
        tracker_.note_answered(different_request({"shared"}), true, at(200 * i + 150));
    }
    EXPECT_FALSE(is_part_blocked(tracker_, "shared"));
    EXPECT_TRUE(is_part_blocked(tracker_, "bad"));
}

// Guards against a failure of a server that clears the part under which it crashes.
TEST_F(crash_tracker_test, answer_with_an_error_does_not_clear_parts)
{
    block("bad", 0);
    tracker_.note_answered(different_request({"bad"}), false, at(300));
    EXPECT_TRUE(is_part_blocked(tracker_, "bad"));
    tracker_.note_answered(different_request({"bad"}), true, at(400));
    EXPECT_FALSE(is_part_blocked(tracker_, "bad"));
}

// Guards against refusing many requests because several servers crash at once for another
// reason.
TEST_F(crash_tracker_test, simultaneous_crashes_do_not_block_a_part)
{
    tracker_.note_answered(different_request({"answered"}), true, at(0));
    for (int i = 0; i < 8; ++i)
        crash("s" + std::to_string(i), different_request({"answered", "new"}), 100 + i);
    EXPECT_FALSE(is_part_blocked(tracker_, "answered"));
    EXPECT_FALSE(is_part_blocked(tracker_, "new"));
}

// Guards against a part that is never blocked because it was answered once.
TEST_F(crash_tracker_test, answered_part_that_turns_harmful_is_blocked)
{
    tracker_.note_answered(different_request({"bad"}), true, at(0));
    for (int i = 0; i < 5; ++i)
        crash("s" + std::to_string(i), different_request({"bad"}), 1000 * i);
    EXPECT_TRUE(is_part_blocked(tracker_, "bad"));
}

// Guards against a part that is let go while requests with it still come and are refused.
TEST_F(crash_tracker_test, part_stays_blocked_while_requests_with_it_come)
{
    block("bad", 0);
    for (int minute = 1; minute <= 10; ++minute)
    {
        tracker_.note_refused(different_request({"bad"}), at(60000 * minute));
        tracker_.expire(at(60000 * minute + 59000));
        ASSERT_TRUE(is_part_blocked(tracker_, "bad")) << minute;
    }
    tracker_.expire(at(60000 * 10 + 121000));
    EXPECT_FALSE(is_part_blocked(tracker_, "bad"));
}

// Guards against a new hub, and instances that start after it, that know nothing of what
// is blocked.
TEST_F(crash_tracker_test, new_hub_learns_what_is_blocked)
{
    block("bad", 0);
    static_cast<void>(tracker_.take_new_reports());
    fleet_crash_tracker new_hub;
    tracker_.merge_fleet_counts(new_hub.suspects(at(5000)), {}, at(5000));
    EXPECT_TRUE(new_hub.add_reports(tracker_.take_new_reports(), at(5000)));
    crash_tracker later;
    later.merge_fleet_counts(new_hub.suspects(at(5100)), {}, at(5100));
    EXPECT_TRUE(is_part_blocked(later, "bad"));
}

// Guards against a hub that forgets a part while instances still refuse it.
TEST_F(crash_tracker_test, hub_keeps_a_part_that_is_still_refused)
{
    fleet_crash_tracker hub;
    block("bad", 0);
    for (int minute = 0; minute <= 5; ++minute)
    {
        tracker_.note_refused(different_request({"bad"}), at(60000 * minute + 500));
        hub.add_reports(tracker_.take_new_reports(), at(60000 * minute + 500));
        EXPECT_FALSE(hub.suspects(at(60000 * minute + 59000)).empty()) << minute;
    }
    EXPECT_TRUE(hub.suspects(at(60000 * 5 + 122000)).empty());
}

// Guards against instances that keep a part blocked for ever by telling each other of it.
TEST_F(crash_tracker_test, instance_does_not_report_what_it_only_heard)
{
    tracker_.merge_fleet_counts({{part_signature("service", "bad"), 5}}, {}, at(0));
    EXPECT_TRUE(is_part_blocked(tracker_, "bad"));
    tracker_.merge_fleet_counts({}, {}, at(5000));
    EXPECT_TRUE(tracker_.take_new_reports().empty());
    tracker_.expire(at(121000));
    EXPECT_FALSE(is_part_blocked(tracker_, "bad"));
}

// Guards against a part that is blocked again by an instance that has not heard of its
// answer.
TEST_F(crash_tracker_test, hub_ignores_refusals_of_what_was_cleared)
{
    fleet_crash_tracker hub;
    hub.note_cleared({request_.request}, at(0));
    EXPECT_FALSE(hub.add_reports({{request_.request, ""}}, at(100)));
    EXPECT_TRUE(hub.suspects(at(200)).empty());
}

// Guards against refusing what this instance has just answered because the hub has not
// heard of that.
TEST_F(crash_tracker_test, answered_part_is_cleared_at_the_hub)
{
    tracker_.note_answered(different_request({"shared"}), true, at(0));
    auto const shared = part_signature("service", "shared");
    tracker_.merge_fleet_counts({{shared, 3}}, {}, at(1000));
    EXPECT_FALSE(is_part_blocked(tracker_, "shared"));
    EXPECT_EQ(tracker_.take_cleared(), std::vector<std::uint64_t>{shared});
    tracker_.merge_fleet_counts({{shared, 3}}, {}, at(60000));
    EXPECT_TRUE(is_part_blocked(tracker_, "shared"));
}

// Guards against memory that grows with ever new parts, and against forgetting the parts
// that are answered often because of them.
TEST(answered_parts_test, ever_new_parts_displace_only_parts_answered_less_recently)
{
    constexpr std::size_t capacity = 100;
    answered_parts parts(capacity, 2);
    for (std::uint64_t i = 1; i < 100000; ++i)
    {
        parts.note_answered(i, at(0));
        if (i % 50 == 0)
            parts.note_answered(0, at(0));
        ASSERT_LE(parts.size(), capacity);
    }
    EXPECT_TRUE(parts.is_sound(0, std::chrono::seconds(1), at(500)));
    EXPECT_FALSE(parts.is_sound(5, std::chrono::seconds(1), at(500)));
    EXPECT_FALSE(parts.is_sound(0, std::chrono::seconds(1), at(1500)));
}

// Guards against memory that grows with ever new parts under which servers crash while no
// hub takes the reports.
TEST_F(crash_tracker_test, ever_new_parts_at_crashes_take_bounded_memory)
{
    constexpr std::size_t bound = 4096;
    for (int i = 0; i < 6000; ++i)
        crash("s" + std::to_string(i), different_request({std::to_string(i)}), i);
    EXPECT_LE(tracker_.take_new_reports().size(), bound);
    fleet_crash_tracker hub;
    std::vector<crash_report> reports;
    for (std::uint64_t i = 0; i < 3 * bound; ++i)
        reports.push_back({i, ""});
    EXPECT_TRUE(hub.add_reports(reports, at(0)));
    EXPECT_EQ(hub.suspects(at(0)).size(), bound);
}

// Guards against the end of an answer that is taken for a success, although its server
// ended with it: the part that crashes servers would be cleared each time.
TEST_F(crash_tracker_test, unproven_end_counts_if_its_server_has_crashed)
{
    for (int i = 0; i < 3; ++i)
    {
        auto const server = "s" + std::to_string(i);
        EXPECT_TRUE(tracker_.note_unproven_end(server, different_request({"harmful"}),
                                               true, true, at(1000 * i)));
        auto const crash = tracker_.note_crash(server, at(1000 * i + 300));
        ASSERT_TRUE(crash);
        EXPECT_EQ(crash->broken_attempts, 1U);
    }
    EXPECT_TRUE(is_part_blocked(tracker_, "harmful"));
}

// Guards against a part that stays suspected although requests with it are answered.
TEST_F(crash_tracker_test, unproven_end_clears_its_parts_once_its_server_is_seen_alive)
{
    crash("s1", different_request({"part"}), 0);
    crash("s2", different_request({"part"}), 1000);
    EXPECT_TRUE(tracker_.note_unproven_end("s3", different_request({"part"}), true, true,
                                           at(1500)));
    EXPECT_FALSE(tracker_.note_unproven_end("s3", different_request({"part"}), true, true,
                                            at(1700)));
    EXPECT_TRUE(tracker_.note_alive("s3", at(1600)));
    EXPECT_FALSE(tracker_.note_alive("s3", at(1800)));
    crash("s4", different_request({"part"}), 2000);
    EXPECT_FALSE(is_part_blocked(tracker_, "part"));
}

// Guards against a sound request that is suspected although its answer had gone on for
// long.
TEST_F(crash_tracker_test, unproven_end_of_a_long_run_neither_counts_nor_clears)
{
    crash("s1", different_request({"part"}), 0);
    crash("s2", different_request({"part"}), 1000);
    EXPECT_TRUE(tracker_.note_unproven_end("s3", different_request({"part"}), true, false,
                                           at(1500)));
    tracker_.note_crash("s3", at(1800));
    EXPECT_FALSE(is_part_blocked(tracker_, "part"));
    crash("s4", different_request({"part"}), 3000);
    EXPECT_TRUE(is_part_blocked(tracker_, "part"));
}

// Guards against memory that grows with servers that cannot be checked.
TEST_F(crash_tracker_test, unproven_ends_are_limited_and_dropped_with_their_check)
{
    std::size_t checks = 0;
    for (int i = 0; i < 2000; ++i)
        checks += tracker_.note_unproven_end("s" + std::to_string(i), request_, true,
                                             true, at(i));
    EXPECT_EQ(checks, 512U);
    tracker_.drop_unproven_ends("s0");
    EXPECT_TRUE(tracker_.note_unproven_end("s0", request_, true, true, at(3000)));
    EXPECT_FALSE(tracker_.note_alive("s1999", at(5000)));
}

} // namespace
} // namespace carawayturn::entry
