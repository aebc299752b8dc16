#include "coordination/entry/backend_selector.hpp"
#include "coordination/entry/fleet_status.hpp"
#include "protocol/entry/node_codec.hpp"

#include <gtest/gtest.h>

#include <map>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

time_point at(int ms)
{
    return time_point{} + milliseconds(1000000 + ms);
}

class backend_selector_test : public testing::Test
{
protected:
    void add(std::string const& id, std::vector<loaded_model> models = {},
             bool draining = false)
    {
        backend_record record;
        record.id = id;
        record.service = "s";
        record.failure_domain = "a";
        record.slots = 6;
        record.models = std::move(models);
        record.draining = draining;
        backends_.put(record);
    }

    backend_choice choose(model_key model = {}, std::set<std::string> excluded = {})
    {
        return backends_.choose({"s", std::move(model), 0, std::move(excluded)}, at(0));
    }

    void evacuate(std::vector<evacuated_domain> domains, std::uint64_t version)
    {
        backends_.evacuated().learn(
            {{true, version, std::move(domains)}, at(-10), at(0)});
    }

    backend_selector backends_{"a", 7};
};

// Guards against requests for a server in an evacuated failure domain, also one that was
// selected before, and against a server that stays unused when the evacuation ends.
TEST_F(backend_selector_test, evacuated_server_gets_nothing_until_the_end)
{
    add("b1");
    auto const selected = *choose().backend;
    evacuate({{"a", 5}}, 5);
    EXPECT_EQ(choose().outcome, choice_outcome::no_backend);
    EXPECT_FALSE(backends_.may_send(selected, at(0)));
    EXPECT_TRUE(backends_.is_evacuated("b1"));
    backends_.evacuated().learn({{true, 6, {}}, at(0), at(0)});
    EXPECT_EQ(choose().outcome, choice_outcome::chosen);
    EXPECT_TRUE(backends_.may_send(selected, at(0)));
    EXPECT_FALSE(backends_.is_evacuated("b1"));
}

// Guards against the evacuation of a name that stops servers elsewhere, and against a
// model that counts as present because an evacuated runner holds it.
TEST_F(backend_selector_test, only_servers_of_the_evacuated_domain_are_skipped)
{
    add("b1", {{"m1", 1, {}}});
    auto elsewhere = *backends_.find("b1");
    elsewhere.id = "b2";
    elsewhere.failure_domain = "b";
    elsewhere.models.clear();
    backends_.put(elsewhere);
    evacuate({{"unknown", 5}}, 5);
    EXPECT_EQ(choose({"m1", ""}).outcome, choice_outcome::chosen);
    backends_.evacuated().learn({{true, 6, {{"a", 6}}}, at(0), at(0)});
    EXPECT_EQ(choose().backend->id, "b2");
    EXPECT_EQ(choose({"m1", ""}).outcome, choice_outcome::model_absent);
}

// Guards against bytes that leave on what a frozen instance knew before its pause.
TEST_F(backend_selector_test, nothing_is_sent_on_an_old_reading_after_a_pause)
{
    add("b1");
    backends_.evacuated().note_check(at(0));
    evacuate({}, 5);
    EXPECT_TRUE(backends_.may_send(*backends_.find("b1"), at(0)));
    EXPECT_FALSE(backends_.may_send(*backends_.find("b1"), at(6000)));
}

// Guards against new requests for a draining server.
TEST_F(backend_selector_test, draining_server_is_not_chosen)
{
    add("b1", {}, true);
    EXPECT_EQ(choose().outcome, choice_outcome::no_backend);
    add("b2");
    EXPECT_EQ(choose().backend->id, "b2");
}

// Guards against the planned end of a server that counts as a crash under its requests.
TEST_F(backend_selector_test, server_that_drains_or_is_removed_is_leaving)
{
    add("b1");
    add("b2", {}, true);
    EXPECT_FALSE(backends_.is_leaving("b1"));
    EXPECT_TRUE(backends_.is_leaving("b2"));
    backends_.remove("b1");
    EXPECT_TRUE(backends_.is_leaving("b1"));
}

// Guards against requests that accumulate at one of several equal servers.
TEST_F(backend_selector_test, equal_servers_share_the_load)
{
    for (auto const* const id : {"b1", "b2", "b3"})
        add(id);
    std::map<std::string, int> counts;
    for (int i = 0; i < 30; ++i)
    {
        auto const chosen = choose();
        ++counts[chosen.backend->id];
        backends_.note_sent(chosen.backend->id);
    }
    for (auto const& [id, count] : counts)
        EXPECT_NEAR(count, 10, 1) << id;
}

// Guards against a server that fails some of its requests while its health check passes.
TEST_F(backend_selector_test, failing_server_gets_fewer_requests)
{
    add("b1");
    add("b2");
    for (int i = 0; i < 3; ++i)
        backends_.note_failure("b1", at(0));
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(choose().backend->id, "b2");
}

// Guards against a request that is sent to a runner without the request's adapter.
TEST_F(backend_selector_test, missing_adapter_is_distinguished_from_missing_model)
{
    add("b1", {{"m", 1, {"a1"}}});
    EXPECT_EQ(choose({"x", ""}).outcome, choice_outcome::model_absent);
    EXPECT_EQ(choose({"m", "a2"}).outcome, choice_outcome::adapter_absent);
    EXPECT_EQ(choose({"m", "a1"}).outcome, choice_outcome::chosen);
}

// Guards against a request that is sent again to the server that denied holding its
// model.
TEST_F(backend_selector_test, denied_model_is_avoided_for_a_while)
{
    add("b1", {{"m", 1, {}}});
    backends_.avoid_model("b1", "m", at(60));
    EXPECT_EQ(choose({"m", ""}).outcome, choice_outcome::full);
    EXPECT_EQ(backends_.choose({"s", {"m", ""}, 0, {}}, at(61)).outcome,
              choice_outcome::chosen);
}

// Guards against failures of a former incarnation that keep requests away from its
// successor.
TEST_F(backend_selector_test, restarted_server_starts_without_failures)
{
    add("b1");
    for (int i = 0; i < 10; ++i)
        backends_.note_failure("b1", at(0));
    backend_record record = *backends_.find("b1");
    record.born_ms = 99;
    backends_.put(record);
    EXPECT_EQ(backends_.load("b1").failures, 0);
}

class fleet_status_test : public testing::Test
{
protected:
    static node_status status(std::string node, std::int64_t sent, std::uint64_t arrivals)
    {
        node_status made;
        made.node = std::move(node);
        made.incarnation = 1;
        made.sent_at_us = sent;
        made.demand.push_back({"s", "m", arrivals, 1});
        made.in_flight.push_back({"b1", "m", 2});
        return made;
    }

    fleet_status fleet_;
};

// Guards against a dead instance whose demand keeps models loaded.
TEST_F(fleet_status_test, expired_instance_is_not_counted)
{
    fleet_.put(status("n1", 1, 0), at(0));
    EXPECT_EQ(fleet_.demand(at(100))["s"]["m"].waiting, 1U);
    fleet_.expire(at(3000));
    EXPECT_EQ(fleet_.demand(at(3000))["s"]["m"].waiting, 0U);
    EXPECT_EQ(fleet_.demand(at(3000))["s"]["m"].in_flight, 0U);
    EXPECT_EQ(fleet_.connected(), 0U);
}

// Guards against a false arrival rate when an instance connects to a new hub: its first
// status carries the total count of arrivals so far.
TEST_F(fleet_status_test, first_status_counts_no_arrivals)
{
    fleet_.put(status("n1", 1, 1000), at(0));
    EXPECT_EQ(fleet_.demand(at(0))["s"]["m"].rate, 0);
}

// Guards against an instance that counts its own requests as those of other instances.
TEST_F(fleet_status_test, totals_exclude_the_requesting_instance)
{
    fleet_.put(status("n1", 1, 0), at(0));
    fleet_.put(status("n2", 1, 0), at(0));
    auto const totals = fleet_.requests_of_others("n1");
    ASSERT_EQ(totals.size(), 1U);
    EXPECT_EQ(totals.at("b1"), 2U);
}

// Guards against totals that grow with each status of the same instance.
TEST_F(fleet_status_test, later_status_replaces_the_earlier_one)
{
    for (int i = 1; i <= 5; ++i)
        fleet_.put(status("n1", i, 0), at(i));
    EXPECT_EQ(fleet_.totals().at("b1"), 2U);
    EXPECT_EQ(fleet_.demand(at(5))["s"]["m"].waiting, 1U);
    EXPECT_EQ(fleet_.connected(), 1U);
}

// Guards against an update between instances that changes when it is encoded and decoded.
TEST(node_codec_test, update_survives_a_round_trip)
{
    node_update update;
    update.echo_us = 5;
    directory_part part;
    part.records.push_back({"b1", "s", "10.0.0.1:1", "a", 6, true, 9, {}, {}, {"m"}});
    update.directory.push_back(std::make_shared<directory_part const>(part));
    update.quota.push_back({3, 10.5, 7});
    auto const read = decode_update(encode(update));
    ASSERT_TRUE(succeeded(read));
    auto const& copy = std::get<node_update>(read);
    ASSERT_EQ(copy.directory.size(), 1U);
    EXPECT_EQ(copy.directory[0]->records, part.records);
    EXPECT_EQ(copy.quota[0].units, 10.5);
}

// Guards against malformed bytes from a peer that end the process.
TEST(node_codec_test, malformed_message_is_an_error)
{
    EXPECT_FALSE(succeeded(decode_status("garbage")));
    EXPECT_FALSE(succeeded(decode_update(std::string(64, '\xff'))));
}

class required_version_test : public backend_selector_test
{
protected:
    void add_version(std::string const& id, std::string const& version,
                     std::vector<loaded_model> models = {{"m", 1, {}}})
    {
        add(id, std::move(models));
        auto record = *backends_.find(id);
        record.software_version = version;
        backends_.put(std::move(record));
    }

    backend_choice choose_version(std::string_view version,
                                  std::set<std::string> excluded = {})
    {
        return backends_.choose({.service = "s",
                                 .model = {"m", ""},
                                 .excluded = std::move(excluded),
                                 .version = version},
                                at(0));
    }
};

// Guards against a stream that goes on at another version.
TEST_F(required_version_test, only_servers_of_the_version_are_chosen)
{
    add_version("b1", "v1");
    add_version("b2", "v2");
    add_version("b3", "");
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(choose_version("v2").backend->id, "b2");
    EXPECT_EQ(choose_version("v2", {"b2"}).outcome, choice_outcome::full);
}

// Guards against a request that waits for a version that has left, or for a model that is
// not loaded because another version's server holds it.
TEST_F(required_version_test, version_without_a_server_for_the_request_is_absent)
{
    add_version("b1", "v1");
    add_version("b2", "v2", {});
    EXPECT_EQ(choose_version("v3").outcome, choice_outcome::version_absent);
    EXPECT_EQ(choose_version("v2").outcome, choice_outcome::version_absent);
    add_version("b1", "v1", {});
    EXPECT_EQ(choose_version("v2").outcome, choice_outcome::model_absent);
}

} // namespace
} // namespace carawayturn::entry
