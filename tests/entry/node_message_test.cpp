#include "protocol/entry/node_codec.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

template <class Message, class Item>
std::string with_items(std::vector<Item> Message::*list, std::size_t count)
{
    Message message;
    (message.*list).resize(count);
    return encode(message);
}

/// Encodes an update with `parts` directory parts of `count` empty records each.
std::string with_records(std::size_t parts, std::size_t count)
{
    node_update update;
    for (std::size_t i = 0; i < parts; ++i)
    {
        auto const part = std::make_shared<directory_part>();
        part->records.resize(count);
        update.directory.push_back(part);
    }
    return encode(update);
}

std::string with_removed(std::size_t count)
{
    node_update update;
    auto const part = std::make_shared<directory_part>();
    part->removed.resize(count);
    update.directory.push_back(part);
    return encode(update);
}

// Guards against a message of at most 4 MB whose short items use many times that memory:
// a status with a million entries used 250 MB.
TEST(node_message_test, lists_that_take_too_much_memory_are_refused)
{
    constexpr std::size_t count = 500'000;
    for (auto const& bytes :
         {with_items(&node_status::in_flight, count),
          with_items(&node_status::demand, count),
          with_items(&node_status::quota_requests, count),
          with_items(&node_status::cancelled_quota_requests, 4'000'000),
          with_items(&node_status::crashes, count),
          with_items(&node_status::leaving, count),
          with_items(&node_status::cold_requests, 2'100'000)})
        EXPECT_FALSE(succeeded(decode_status(bytes)));
    for (auto const& bytes :
         {with_records(1, count), with_records(100, 5'000), with_removed(1'000'000),
          with_items(&node_update::estimates, count),
          with_items(&node_update::unloading_models, count),
          with_items(&node_update::cold_grants, 1'200'000),
          with_items(&node_update::peers, 1'000'000)})
        EXPECT_FALSE(succeeded(decode_update(bytes)));
}

// Guards against a quota request that loses its rank, or a reply that loses its state, on
// the way.
TEST(node_message_test, quota_messages_keep_rank_state_and_cancellations)
{
    node_status status;
    status.quota_requests.push_back({7, "org", 12.5, 2, 3, 25'000'000});
    status.cancelled_quota_requests = {5, std::uint64_t{1} << 63U};
    auto const read = decode_status(encode(status));
    ASSERT_TRUE(succeeded(read));
    auto const& request = std::get<node_status>(read).quota_requests.at(0);
    EXPECT_EQ(request.priority, 3U);
    EXPECT_EQ(request.max_wait_us, 25'000'000);
    EXPECT_EQ(std::get<node_status>(read).cancelled_quota_requests,
              status.cancelled_quota_requests);
    node_update update;
    update.quota = {{7, 0, 0, true}, {8, 3, -1, false}};
    update.sent_at_us = -17;
    auto const reply = decode_update(encode(update));
    ASSERT_TRUE(succeeded(reply));
    EXPECT_TRUE(std::get<node_update>(reply).quota.at(0).queued);
    EXPECT_EQ(std::get<node_update>(reply).quota.at(1).retry_after_us, -1);
    EXPECT_EQ(std::get<node_update>(reply).sent_at_us, -17);
}

// Guards against a memory limit that rejects the directory of the largest fleets.
TEST(node_message_test, directory_of_12000_servers_is_decoded)
{
    node_update update;
    auto const part = std::make_shared<directory_part>();
    for (int i = 0; i < 12'000; ++i)
        part->records.push_back({"server-" + std::to_string(i),
                                 "service",
                                 "10.0.0.1:8000",
                                 "zone",
                                 6,
                                 false,
                                 1700000000000,
                                 {{"model", 1, {"a1", "a2"}}},
                                 {},
                                 {}});
    update.directory.push_back(part);
    auto const bytes = encode(update);
    ASSERT_LT(bytes.size(), max_node_message);
    EXPECT_TRUE(succeeded(decode_update(bytes)));
}

// Guards against a set of evacuated failure domains that a referral loses on the way.
TEST(node_message_test, evacuated_domains_are_passed_on)
{
    node_update update;
    update.from_hub = false;
    update.evacuated = {true, 17, {{"z1", 9}, {"z2", 12}}, 1500000, 700000};
    auto const decoded = std::get<node_update>(decode_update(encode(update))).evacuated;
    EXPECT_TRUE(decoded.known);
    EXPECT_EQ(decoded.version, 17U);
    EXPECT_EQ(decoded.domains, update.evacuated.domains);
    EXPECT_EQ(decoded.since_call_us, 1500000);
    EXPECT_EQ(decoded.since_answer_us, 700000);
}

// Guards against slots that get lost or go to another server on their way, and against
// bytes for servers that are not cold.
TEST(node_message_test, cold_slots_are_passed_on_in_a_few_bytes)
{
    node_status status;
    auto const status_bytes = encode(status).size();
    status.cold_requests = {{0xfedcba98, 3}};
    EXPECT_LE(encode(status).size(), status_bytes + 6);
    auto const asked = std::get<node_status>(decode_status(encode(status)));
    ASSERT_EQ(asked.cold_requests.size(), 1U);
    EXPECT_EQ(asked.cold_requests[0].short_server_id, 0xfedcba98);
    EXPECT_EQ(asked.cold_requests[0].wanted, 3U);
    node_update update;
    update.cold_grants = {{0xfedcba98, 2, -1}, {7, 0, 1'200'000}};
    auto const part = std::make_shared<directory_part>();
    part->records.resize(1);
    part->records[0].cold_for_s = 20;
    update.directory.push_back(part);
    auto const told = std::get<node_update>(decode_update(encode(update)));
    ASSERT_EQ(told.cold_grants.size(), 2U);
    EXPECT_EQ(told.cold_grants[0].slots, 2U);
    EXPECT_EQ(told.cold_grants[0].warm_row_age_us, -1);
    EXPECT_EQ(told.cold_grants[1].warm_row_age_us, 1'200'000);
    EXPECT_EQ(told.directory[0]->records[0].cold_for_s, 20U);
}

// Guards against updates that grow where nothing is evacuated.
TEST(node_message_test, empty_set_of_evacuated_domains_costs_few_bytes)
{
    node_update update;
    // Unknown sets have five fields of one byte.
    auto const without = encode(update).size() - 5;
    update.evacuated = {true, 1'000'000, {}, 1'700'000, 850'000};
    EXPECT_EQ(encode(update).size() - without, 12U);
}

// Guards against an era that is lost on the way, and against an update that instances of
// the former build cannot read: without the state it ends where it did.
TEST(node_message_test, state_of_the_store_follows_the_former_end_of_an_update)
{
    node_update update;
    update.directory.push_back(std::make_shared<directory_part>());
    update.loads = std::make_shared<fleet_loads>();
    auto const former = encode(update);
    EXPECT_FALSE(std::get<node_update>(decode_update(former)).store);
    update.store = store_state{~std::uint64_t{0}, 6};
    auto const bytes = encode(update);
    EXPECT_EQ(bytes.substr(0, former.size()), former);
    auto const decoded = std::get<node_update>(decode_update(bytes)).store;
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->era, ~std::uint64_t{0});
    EXPECT_EQ(decoded->lease_era, 6U);
    EXPECT_FALSE(succeeded(decode_update(bytes.substr(0, bytes.size() - 1))));
    EXPECT_FALSE(succeeded(decode_update(bytes + '\1')));
}

} // namespace
} // namespace carawayturn::entry
