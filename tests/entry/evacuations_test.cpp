#include "coordination/entry/evacuation_rows.hpp"
#include "coordination/entry/evacuations.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at(int ms)
{
    return time_point{} + milliseconds(1000000 + ms);
}

/// An instance with the default bound of 5 s, of which it uses 4.3 s. Its checks run
/// every 50 ms unless a test says otherwise.
class evacuations_test : public testing::Test
{
protected:
    static evacuated_domains set_of(std::uint64_t version,
                                    std::vector<std::string> const& names)
    {
        evacuation_rows rows;
        for (auto const& name : names)
            rows.put(name, version);
        return rows.as_of(version);
    }

    /// Delivers a reading of this instance's own, which took 10 ms.
    std::vector<evacuation_change> read(std::uint64_t version,
                                        std::vector<std::string> const& names, int asked)
    {
        return evacuations_.learn({set_of(version, names), at(asked), at(asked + 10)});
    }

    /// Delivers what another instance with the reading of `other` sends at `sent`, in
    /// answer to a status of this instance that left 2 ms earlier.
    void receive(evacuations const& other, int sent)
    {
        evacuations_.learn(evacuation_reading::received(other.message(at(sent)),
                                                        at(sent - 2), at(sent + 2)));
    }

    void run(int from, int until)
    {
        for (int ms = from; ms <= until; ms += 50)
            evacuations_.note_check(at(ms));
    }

    evacuations evacuations_{seconds(5)};
};

// Guards against an instance that starts in an evacuation and sends before it has read
// the set, and against one that takes the ignorance of a peer for an empty set.
TEST_F(evacuations_test, set_is_unknown_until_the_first_reading)
{
    EXPECT_FALSE(evacuations_.known());
    receive(evacuations(seconds(5)), 0);
    EXPECT_FALSE(evacuations_.known());
    EXPECT_FALSE(evacuations_.recent(at(0)));
    read(7, {}, 10);
    EXPECT_TRUE(evacuations_.known());
    EXPECT_TRUE(evacuations_.recent(at(20)));
}

// Guards against log lines and pushed updates for readings that change nothing, such as a
// row that is written twice.
TEST_F(evacuations_test, only_changes_of_the_set_are_reported)
{
    EXPECT_EQ(read(5, {"a", "b"}, 0),
              (std::vector<evacuation_change>{{"a", 5, true}, {"b", 5, true}}));
    EXPECT_TRUE(read(6, {"a", "b"}, 100).empty());
    EXPECT_EQ(read(9, {"b"}, 200), (std::vector<evacuation_change>{{"a", 6, false}}));
    EXPECT_EQ(evacuations_.changes(), 2U);
    EXPECT_FALSE(evacuations_.contains("a"));
    EXPECT_TRUE(evacuations_.contains("b"));
}

// Guards against an update of a hub that is late, or was frozen, that ends an evacuation
// which this instance has read itself.
TEST_F(evacuations_test, older_reading_of_the_hub_does_not_replace_own_one)
{
    evacuations hub(seconds(5));
    hub.learn({set_of(10, {}), at(0), at(800)});
    read(11, {"a"}, 100);
    receive(hub, 900);
    EXPECT_TRUE(evacuations_.contains("a"));
}

// Guards against a dead hub's successor, or a peer that refers to it, whose newer reading
// is not used, and against an age that the message does not prove.
TEST_F(evacuations_test, newer_reading_of_a_peer_is_used_with_its_age)
{
    read(10, {}, 0);
    evacuations peer(seconds(5));
    peer.learn({set_of(12, {"a"}), at(1000), at(1100)});
    receive(peer, 3000);
    EXPECT_TRUE(evacuations_.contains("a"));
    EXPECT_EQ(evacuations_.age(at(3002)), milliseconds(2004));
}

// Guards against a pushed update, which may have been delayed for any time, that counts
// as a recent reading.
TEST_F(evacuations_test, pushed_update_begins_an_evacuation_but_proves_no_freshness)
{
    read(10, {}, 0);
    evacuations hub(seconds(5));
    hub.learn({set_of(11, {"a"}), at(100), at(110)});
    evacuations_.learn(
        evacuation_reading::received(hub.message(at(120)), time_point{}, at(9000)));
    EXPECT_TRUE(evacuations_.contains("a"));
    EXPECT_FALSE(evacuations_.recent(at(9000)));
}

// Guards against a restored store whose lower versions are ignored, and against the
// reading from before, passed on by a peer, that comes back with its higher version.
TEST_F(evacuations_test, restored_store_is_followed_with_lower_versions)
{
    evacuations peer(seconds(5));
    peer.learn({set_of(100, {"a"}), at(0), at(10)});
    read(100, {"a"}, 0);
    read(60, {}, 500);
    EXPECT_FALSE(evacuations_.contains("a"));
    receive(peer, 600);
    EXPECT_FALSE(evacuations_.contains("a"));
    read(61, {"b"}, 700);
    EXPECT_TRUE(evacuations_.contains("b"));
}

// Guards against two overlapping reads, of which the slower one shows an older state with
// a later call, that are taken for a restored store.
TEST_F(evacuations_test, overlapping_readings_are_ordered_by_version)
{
    evacuations_.learn({set_of(100, {"a"}), at(0), at(800)});
    read(99, {}, 400);
    EXPECT_TRUE(evacuations_.contains("a"));
}

// Guards against an instance that wakes after the row has become binding and sends on
// what it knew before, also before its first periodic check.
TEST_F(evacuations_test, frozen_instance_refreshes_before_it_sends)
{
    run(0, 1000);
    read(10, {}, 900);
    EXPECT_FALSE(evacuations_.must_refresh(at(1000)));
    EXPECT_TRUE(evacuations_.must_refresh(at(6000)));
    run(6010, 6200);
    EXPECT_TRUE(evacuations_.must_refresh(at(6200)));
    read(11, {"a"}, 6210);
    EXPECT_FALSE(evacuations_.must_refresh(at(6230)));
    EXPECT_TRUE(evacuations_.contains("a"));
}

// Guards against requests without keys that wait forever at an instance that cannot
// refresh, and against waiting where no pause was: the store is away for all.
TEST_F(evacuations_test, instance_that_is_not_in_touch_proceeds)
{
    run(0, 1000);
    read(10, {}, 900);
    run(1050, 20000);
    EXPECT_FALSE(evacuations_.must_refresh(at(20000)));
    EXPECT_FALSE(evacuations_.recent(at(20000)));
    run(26000, 27950);
    EXPECT_TRUE(evacuations_.must_refresh(at(27950)));
    run(28000, 28050);
    EXPECT_FALSE(evacuations_.must_refresh(at(28050)));
}

// Guards against a short pause after which requests wait, although no row that is binding
// can be unknown.
TEST_F(evacuations_test, short_pause_needs_no_refresh)
{
    run(0, 1000);
    read(10, {}, 900);
    EXPECT_FALSE(evacuations_.must_refresh(at(900 + 4300)));
    EXPECT_TRUE(evacuations_.must_refresh(at(900 + 4301)));
}

// Guards against a bound of the operators that is not kept because it is short.
TEST_F(evacuations_test, bound_limits_the_age)
{
    read(10, {}, 0);
    evacuations_.set_bound(seconds(2));
    EXPECT_TRUE(evacuations_.recent(at(1300)));
    EXPECT_FALSE(evacuations_.recent(at(1301)));
    evacuations_.set_bound(seconds(1));
    EXPECT_TRUE(evacuations_.recent(at(500)));
    EXPECT_FALSE(evacuations_.recent(at(501)));
}

// Guards against a message of a faulty peer that overflows a time, takes memory, or
// cannot be replaced any more.
TEST_F(evacuations_test, odd_message_is_bounded_and_replaced)
{
    evacuated_domains odd;
    odd.known = true;
    odd.version = UINT64_MAX;
    odd.since_call_us = INT64_MIN;
    odd.since_answer_us = INT64_MAX;
    for (int i = 0; i < 1000; ++i)
        odd.domains.push_back({"d" + std::to_string(i), 1});
    evacuations_.learn(evacuation_reading::received(odd, at(0), at(1)));
    EXPECT_EQ(evacuations_.domains().size(), max_evacuated_domains);
    read(12, {}, 1000);
    EXPECT_TRUE(evacuations_.domains().empty());
}

// Guards against rows of another writer that fill the memory, and against a row that was
// ignored for lack of room and stays ignored when there is some.
TEST(evacuation_rows_test, rows_beyond_the_limit_are_ignored_until_the_next_read)
{
    evacuation_rows rows;
    for (int i = 0; i < 70; ++i)
        rows.put("d" + std::to_string(i), 1);
    rows.put("", 1);
    rows.put(std::string(300, 'x'), 1);
    rows.put("d0", 2);
    EXPECT_EQ(rows.as_of(3).domains.size(), max_evacuated_domains);
    EXPECT_EQ(rows.as_of(3).domains.front(), (evacuated_domain{"d0", 2}));
    EXPECT_EQ(rows.ignored(), 8U);
    EXPECT_FALSE(rows.incomplete());
    rows.remove("d1");
    EXPECT_TRUE(rows.incomplete());
}

// Guards against a row that is written and removed within one answer of the store and
// counts for ever.
TEST(evacuation_rows_test, row_that_is_written_and_removed_leaves_nothing)
{
    evacuation_rows rows;
    rows.put("a", 1);
    rows.put("b", 2);
    rows.put("a", 3);
    rows.remove("a");
    rows.remove("never seen");
    ASSERT_EQ(rows.as_of(5).domains.size(), 1U);
    EXPECT_EQ(rows.as_of(5).domains.front().name, "b");
    EXPECT_FALSE(rows.incomplete());
}

// Guards against a reading of the former era, with a higher version, that replaces one of
// the new era, and against a version that means another state in the new era.
TEST_F(evacuations_test, reading_of_a_later_era_counts_whatever_its_version)
{
    evacuations_.learn({{true, 50, {{"a", 9}}}, at(100), at(110), 1});
    evacuations_.learn({{true, 50, {{"b", 20}}}, at(200), at(210), 2});
    EXPECT_TRUE(evacuations_.contains("b"));
    evacuations_.learn({{true, 90, {{"a", 9}}}, at(205), at(300), 1});
    EXPECT_TRUE(evacuations_.contains("b"));
    EXPECT_FALSE(evacuations_.contains("a"));
    evacuations_.learn({{true, 10, {{"c", 5}}}, at(400), at(410), 1});
    EXPECT_TRUE(evacuations_.contains("c"));
}

} // namespace
} // namespace carawayturn::entry
