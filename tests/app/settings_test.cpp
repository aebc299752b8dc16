#include "app/settings.hpp"

#include <gtest/gtest.h>

#include <map>

namespace carawayturn
{
namespace
{

class settings_test : public testing::Test
{
protected:
    using values = std::map<std::string, std::string, std::less<>>;

    static std::optional<std::string> look_up(values const& from, std::string_view name)
    {
        auto const found = from.find(name);
        return found == from.end() ? std::nullopt : std::optional(found->second);
    }

    [[nodiscard]] result<daemon_settings> read() const
    {
        return read_settings(
            [this](std::string_view name) { return look_up(flags_, name); },
            [this](std::string_view name) { return look_up(environment_, name); });
    }

    /// Expects an error that names the setting, shows the value and what is allowed.
    void expect_wrong(std::string const& name, std::string const& value,
                      std::string const& allowed)
    {
        auto const before = flags_;
        flags_[name] = value;
        auto const outcome = read();
        flags_ = before;
        ASSERT_FALSE(succeeded(outcome)) << name;
        auto const& failure = std::get<error>(outcome);
        EXPECT_EQ(failure.step, name);
        EXPECT_NE(failure.detail.find(value), std::string::npos) << failure.detail;
        EXPECT_NE(failure.detail.find(allowed), std::string::npos) << failure.detail;
    }

    values flags_{{"instance", "entry-1"},
                  {"cluster_secret", "0123456789abcdef"},
                  {"operator_token", "fedcba9876543210"}};
    values environment_;
};

TEST_F(settings_test, flag_and_environment_given_flag_wins)
{
    flags_["lease_ms"] = "9000";
    environment_["CARAWAYTURN_LEASE_MS"] = "7000";
    environment_["CARAWAYTURN_SEED"] = "5";
    auto const outcome = read();
    ASSERT_TRUE(succeeded(outcome));
    auto const& settings = std::get<daemon_settings>(outcome);
    EXPECT_EQ(settings.core.lease.time_to_live, std::chrono::seconds(9));
    EXPECT_EQ(settings.core.identity.seed, 5U);
    EXPECT_EQ(settings.core.identity.id, instance_id("entry-1"));
}

// Guards against a daemon that starts with a value that it silently changed.
TEST_F(settings_test, value_out_of_range_names_setting_value_and_range)
{
    expect_wrong("lease_ms", "999", "1000 to 60000");
    expect_wrong("max_connections", "0", "1 to 1000000");
    expect_wrong("core_ring", "12x", "64 to 1048576");
    expect_wrong("listen", "localhost", "IP address and port");
    expect_wrong("table", "10.0.0.1:70000", "1 to 65535");
    expect_wrong("instance", "a b", "letters");
    expect_wrong("log_level", "loud", "debug, info, warning or error");
    expect_wrong("lease_renew_ms", "4000", "at most half of lease_ms");
}

TEST_F(settings_test, short_secret_is_refused_without_showing_it)
{
    flags_["cluster_secret"] = "hunter2";
    auto const outcome = read();
    ASSERT_FALSE(succeeded(outcome));
    auto const& failure = std::get<error>(outcome);
    EXPECT_EQ(failure.step, "cluster_secret");
    EXPECT_EQ(failure.detail.find("hunter2"), std::string::npos);
}

TEST_F(settings_test, missing_operator_token_is_refused)
{
    flags_.erase("operator_token");
    auto const outcome = read();
    ASSERT_FALSE(succeeded(outcome));
    EXPECT_EQ(std::get<error>(outcome).step, "operator_token");
}

} // namespace
} // namespace carawayturn
