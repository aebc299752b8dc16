#include "state/config_text.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

std::string const small_config =
    R"({"models":[{"id":"base","bytes":1000}],)"
    R"("pools":[{"id":"chat","models":["base"]}],)"
    R"("routes":[{"path_prefix":"/v1/chat","pool":"chat"}],)"
    R"("organisations":[{"id":"acme","rate":0.1,"burst":1000}]})";

class config_text_test : public testing::Test
{
protected:
    static fleet_config full_config()
    {
        fleet_config config;
        config.version = 18'446'744'073'709'551'615U;
        config.instance_slots = 3;
        config.models[model_id("base")] = {model_id("base"), "2\"\n", 1LL << 60U, 2};
        config.adapters[adapter_id("notes")] = {adapter_id("notes"), model_id("base"), 9};
        config.pools[pool_id("chat")] = {pool_id("chat"),   pool_kind::model, 5, 7.3, 31,
                                         {model_id("base")}};
        config.pools[pool_id("tax")] = {pool_id("tax"), pool_kind::plain, 4, 4.0, 32, {}};
        config.routes.push_back({"/tax", pool_id("tax"), false, true, -4,
                                 std::chrono::microseconds(1'234'567), 12});
        // 0.1 + 0.2 needs 17 digits.
        config.organisations[organisation_id("acme")] = {
            organisation_id("acme"),       0.1 + 0.2, 1000, {"*"}, {"chat", "tax"},
            {digest(std::string(64, 'a'))}};
        return config;
    }

    /// Replaces the first occurrence in the small configuration.
    static std::string altered(std::string const& from, std::string const& to)
    {
        std::string text = small_config;
        auto const at = text.find(from);
        EXPECT_NE(at, std::string::npos);
        return text.replace(at, from.size(), to);
    }

    static void expect_refused(std::string const& text, std::string const& field)
    {
        auto const outcome = parse_config(text);
        ASSERT_FALSE(succeeded(outcome)) << text;
        EXPECT_EQ(std::get<error>(outcome).step, field);
    }
};

TEST_F(config_text_test, print_then_parse_full_config_is_equal)
{
    auto const outcome = parse_config(print_config(full_config()));
    ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
    EXPECT_EQ(std::get<0>(outcome), full_config());
}

// Rates must not drift by a rounding each time that a configuration is read and written.
TEST_F(config_text_test, print_then_parse_doubles_are_equal)
{
    auto config = full_config();
    double& rate = config.organisations.begin()->second.rate;
    for (rate = 1.0 / 3; rate < 1e12; rate *= 1.37)
    {
        auto const outcome = parse_config(print_config(config));
        ASSERT_TRUE(succeeded(outcome));
        ASSERT_EQ(std::get<0>(outcome), config);
    }
}

TEST_F(config_text_test, parse_absent_optional_fields_gives_defaults)
{
    auto const outcome = parse_config(small_config);
    ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
    auto const& config = std::get<0>(outcome);
    EXPECT_EQ(config.instance_slots, 16U);
    EXPECT_EQ(config.routes.at(0).default_deadline, std::chrono::seconds(60));
}

TEST_F(config_text_test, parse_unknown_field_names_field)
{
    expect_refused(altered(R"("rate")", R"("colour":1,"rate")"),
                   "organisations[acme].colour");
}

TEST_F(config_text_test, parse_repeated_name_names_field)
{
    expect_refused(altered(R"("bytes":1000)", R"("bytes":1,"bytes":1000)"),
                   "models[0].bytes");
}

TEST_F(config_text_test, parse_repeated_id_names_field)
{
    expect_refused(altered(R"({"id":"base","bytes":1000})",
                           R"({"id":"base","bytes":1},{"id":"base","bytes":1})"),
                   "models[base].id");
}

TEST_F(config_text_test, parse_wrong_types_names_field)
{
    expect_refused(altered("1000", R"("1000")"), "models[base].bytes");
    expect_refused(altered("1000", "1000.5"), "models[base].bytes");
    expect_refused(altered("1000", "18446744073709551615"), "models[base].bytes");
    expect_refused(altered(R"(["base"])", "[4]"), "pools[chat].models[0]");
    expect_refused(altered(R"("rate":0.1)", R"("rate":null)"),
                   "organisations[acme].rate");
    expect_refused(altered(R"("rate":0.1)", R"("rate":1e999)"), "organisations[0].rate");
}

TEST_F(config_text_test, parse_missing_field_names_field)
{
    expect_refused(altered(R"(,"burst":1000)", ""), "organisations[acme].burst");
}

TEST_F(config_text_test, parse_deadline_beyond_a_day_names_field)
{
    expect_refused(
        altered(R"("pool":"chat")", R"("pool":"chat","default_deadline_ms":9e18)"),
        "routes[/v1/chat].default_deadline_ms");
}

TEST_F(config_text_test, parse_deep_nesting_names_field)
{
    expect_refused(altered(R"("pools":[)", R"("pools":[[[[[[[[[[[)"),
                   "pools[0][0][0][0][0][0][0]");
}

TEST_F(config_text_test, parse_text_after_document_is_refused)
{
    EXPECT_FALSE(succeeded(parse_config(small_config + "x")));
    EXPECT_FALSE(succeeded(parse_config("")));
    EXPECT_TRUE(succeeded(parse_config(small_config + " \n")));
}

TEST_F(config_text_test, print_then_parse_every_change_is_equal)
{
    std::vector<config_change> const changes{
        replace_config{full_config()}, grant_key{organisation_id("acme"), digest("ab")},
        withdraw_key{organisation_id("acme"), digest("cd")},
        put_adapter{{adapter_id("notes"), model_id("base"), 5}},
        remove_adapter{adapter_id("notes")}};
    ASSERT_EQ(changes.size(), std::variant_size_v<config_change>);
    for (auto const& change : changes)
    {
        auto const outcome = parse_change(print_change(change));
        ASSERT_TRUE(succeeded(outcome)) << to_string(std::get<error>(outcome));
        EXPECT_EQ(std::get<0>(outcome), change);
    }
}

TEST_F(config_text_test, parse_change_invalid_replacement_names_field)
{
    auto const outcome =
        parse_change(R"({"type":"replace","config":{"instance_slots":0}})");
    ASSERT_FALSE(succeeded(outcome));
    EXPECT_EQ(std::get<error>(outcome).step, "config.instance_slots");
}

TEST_F(config_text_test, parse_change_unknown_type_names_field)
{
    auto const outcome = parse_change(R"({"type":"rename"})");
    ASSERT_FALSE(succeeded(outcome));
    EXPECT_EQ(std::get<error>(outcome).step, "type");
}

} // namespace
} // namespace carawayturn
