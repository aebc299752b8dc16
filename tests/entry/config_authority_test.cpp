#include "coordination/entry/config_authority.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

using std::chrono::milliseconds;

class config_authority_test : public testing::Test
{
protected:
    static std::shared_ptr<serving_config const> version(std::uint64_t number)
    {
        auto config = std::make_shared<serving_config>();
        config->version = number;
        return config;
    }
    static time_point at(int ms) { return time_point{} + milliseconds(10000 + ms); }

    config_authority authority_{milliseconds(4300)};
};

// Guards against serving callers whose keys were never confirmed.
TEST_F(config_authority_test, keyed_requests_stop_without_confirmation)
{
    EXPECT_FALSE(authority_.may_serve_keyed(at(0)));
    authority_.accept(version(3));
    EXPECT_FALSE(authority_.may_serve_keyed(at(0)));
}

// Guards against accepting a withdrawn key while the store rejects this instance.
TEST_F(config_authority_test, keyed_requests_stop_when_the_confirmation_is_old)
{
    authority_.accept(version(3));
    authority_.confirm(3, at(0));
    EXPECT_TRUE(authority_.may_serve_keyed(at(4300)));
    EXPECT_FALSE(authority_.may_serve_keyed(at(4301)));
}

// Guards against using a confirmation of a version that this instance has not read yet.
TEST_F(config_authority_test, confirmation_of_missing_version_proves_nothing)
{
    authority_.accept(version(3));
    authority_.confirm(3, at(0));
    authority_.confirm(4, at(3000));
    EXPECT_EQ(authority_.newest_known_version(), 4U);
    EXPECT_FALSE(authority_.may_serve_keyed(at(4400)));
}

// Guards against reverting to an older configuration that arrives late.
TEST_F(config_authority_test, older_version_is_refused)
{
    EXPECT_TRUE(authority_.accept(version(5)));
    EXPECT_FALSE(authority_.accept(version(4)));
    EXPECT_FALSE(authority_.accept(version(5)));
    EXPECT_EQ(authority_.version(), 5U);
}

// Guards against a late answer that replaces the time of a newer confirmation.
TEST_F(config_authority_test, late_answer_keeps_the_newer_confirmation_time)
{
    authority_.accept(version(3));
    authority_.confirm(3, at(2000));
    authority_.confirm(3, at(500));
    EXPECT_EQ(authority_.confirmed_at(), at(2000));
}

} // namespace
} // namespace carawayturn::entry
