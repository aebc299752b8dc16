#include "coordination/entry/hub_state.hpp"
#include "protocol/entry/node_codec.hpp"
#include "state/entry/directory_digest.hpp"

#include <gtest/gtest.h>

#include <set>

namespace carawayturn::entry
{
namespace
{

time_point at(int ms)
{
    return time_point{} + std::chrono::seconds(100) + std::chrono::milliseconds(ms);
}

/// A hub with many servers and many instances, by counts.
class hub_load_test : public testing::Test
{
protected:
    static constexpr int instance_count = 300;
    static constexpr int server_count = 800;

    hub_load_test()
    {
        hub_.start(true);
        for (int i = 0; i < server_count; ++i)
            hub_.put_server(server(i, false), at(0));
        for (int i = 0; i < instance_count; ++i)
        {
            node_status status;
            status.node = "n" + std::to_string(i);
            status.incarnation = 1;
            statuses_.push_back(std::move(status));
        }
    }

    static backend_record server(int number, bool draining)
    {
        backend_record record;
        record.id = "s" + std::to_string(number);
        record.service = "booking";
        record.address = "10.0.0.1:80";
        record.draining = draining;
        return record;
    }

    /// What the instance knows after it was sent the update.
    static void take(node_status& status, std::map<std::string, backend_record>& known,
                     std::string const& bytes)
    {
        auto const read = decode_update(bytes);
        ASSERT_TRUE(succeeded(read));
        auto const& update = std::get<node_update>(read);
        std::erase_if(
            known, [&](auto const& entry)
            { return ((update.replaced_buckets >> bucket_of(entry.first)) & 1U) != 0; });
        for (auto const& part : update.directory)
        {
            for (auto const& record : part->records)
                known[record.id] = record;
            for (auto const& id : part->removed)
                known.erase(id);
        }
        status.directory_hub = update.directory_hub;
        status.directory_revision = update.directory_revision;
    }

    config_authority authority_{std::chrono::seconds(4)};
    hub_state hub_{7};
    std::vector<node_status> statuses_;
    update_encoder encoder_;
};

// Guards against a hub that is busy for half a minute after a restart of all instances:
// it made, hashed and encoded the whole directory anew for each of them.
TEST_F(hub_load_test, directory_is_encoded_once_when_all_instances_ask_for_it)
{
    std::map<std::string, backend_record> known;
    std::set<std::string const*> bytes;
    for (auto& status : statuses_)
    {
        known.clear();
        auto const update = encoder_.encode(hub_.answer(status, authority_, at(10)));
        for (auto const& part : update.parts)
            bytes.insert(part.get());
        take(status, known, update.str());
    }
    EXPECT_EQ(known, hub_.servers());
    EXPECT_EQ(encoder_.parts_encoded(), directory_buckets);
    EXPECT_EQ(bytes.size(), directory_buckets);
}

// Guards against the same while servers change, as they do after a restart.
TEST_F(hub_load_test, change_between_two_questions_costs_one_part_of_the_directory)
{
    std::map<std::string, backend_record> known;
    for (int i = 0; i < instance_count; ++i)
    {
        known.clear();
        hub_.put_server(server(i, true), at(i));
        auto& status = statuses_[static_cast<std::size_t>(i)];
        take(status, known,
             encoder_.encode(hub_.answer(status, authority_, at(i))).str());
    }
    EXPECT_EQ(known, hub_.servers());
    EXPECT_LE(encoder_.parts_encoded(), directory_buckets + instance_count);
}

// Guards against an encoding of the same change for each instance.
TEST_F(hub_load_test, change_is_encoded_once_for_all_instances)
{
    std::vector<std::map<std::string, backend_record>> known(statuses_.size());
    for (std::size_t i = 0; i < statuses_.size(); ++i)
        take(statuses_[i], known[i],
             encoder_.encode(hub_.answer(statuses_[i], authority_, at(10))).str());
    hub_.put_server(server(5, true), at(20));
    hub_.remove_server("s6");
    auto const before = encoder_.parts_encoded();
    std::size_t own_bytes = 0;
    for (std::size_t i = 0; i < statuses_.size(); ++i)
    {
        node_status last = statuses_[i];
        last.complete = false;
        auto const update = encoder_.encode(hub_.changes_for(last, authority_, at(20)));
        own_bytes = std::max(own_bytes, update.head.size());
        take(statuses_[i], known[i], update.str());
        EXPECT_EQ(known[i], hub_.servers());
    }
    EXPECT_EQ(encoder_.parts_encoded(), before + 1);
    EXPECT_LT(own_bytes, 60U);
}

// Guards against changes kept from a former revision: an instance behind by two changes
// is sent both, one behind by one is sent that one.
TEST_F(hub_load_test, instances_at_different_revisions_are_sent_what_they_lack)
{
    std::vector<std::map<std::string, backend_record>> known(2);
    take(statuses_[0], known[0],
         encoder_.encode(hub_.answer(statuses_[0], authority_, at(10))).str());
    hub_.put_server(server(1, true), at(20));
    take(statuses_[1], known[1],
         encoder_.encode(hub_.answer(statuses_[1], authority_, at(20))).str());
    hub_.put_server(server(2, true), at(30));
    hub_.remove_server("s3");
    for (std::size_t i = 0; i < known.size(); ++i)
    {
        auto const update = hub_.answer(statuses_[i], authority_, at(30));
        ASSERT_EQ(update.directory.size(), 1U);
        EXPECT_EQ(update.directory[0]->records.size(), 2 - i);
        take(statuses_[i], known[i], encoder_.encode(update).str());
        EXPECT_EQ(known[i], hub_.servers());
    }
}

} // namespace
} // namespace carawayturn::entry
