#include "state/fleet_config.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

class fleet_config_test : public testing::Test
{
protected:
    fleet_config_test()
    {
        config_.models[model_id("base")] = {model_id("base"), "1", 1000, 2};
        config_.adapters[adapter_id("notes")] = {adapter_id("notes"), model_id("base"),
                                                 10};
        config_.pools[pool_id("chat")] = {pool_id("chat"),   pool_kind::model, 4, 4.0, 32,
                                          {model_id("base")}};
        route_config route;
        route.path_prefix = "/v1/chat";
        route.pool = pool_id("chat");
        config_.routes.push_back(route);
        organisation_config organisation;
        organisation.id = organisation_id("acme");
        organisation.rate = 100;
        organisation.burst = 1000;
        organisation.models = {"*"};
        organisation.key_digests = {digest("aa")};
        config_.organisations[organisation.id] = organisation;
    }

    /// Expects that the configuration is refused and that the error names the field.
    void expect_invalid(std::string const& field) const
    {
        auto const outcome = validate(config_);
        ASSERT_FALSE(succeeded(outcome));
        EXPECT_EQ(std::get<error>(outcome).step, field);
    }

    fleet_config config_;
};

TEST_F(fleet_config_test, validate_whole_config_succeeds)
{
    EXPECT_TRUE(succeeded(validate(config_)));
}

TEST_F(fleet_config_test, validate_adapter_of_missing_model_names_field)
{
    config_.adapters[adapter_id("notes")].model = model_id("absent");
    expect_invalid("adapters[notes].model");
}

TEST_F(fleet_config_test, validate_non_positive_rate_names_field)
{
    config_.organisations[organisation_id("acme")].rate = 0;
    expect_invalid("organisations[acme].rate");
}

TEST_F(fleet_config_test, validate_key_of_two_organisations_names_field)
{
    auto second = config_.organisations[organisation_id("acme")];
    second.id = organisation_id("zeta");
    config_.organisations[second.id] = second;
    expect_invalid("organisations[zeta].key_digests");
}

TEST_F(fleet_config_test, validate_open_route_at_most_once_names_field)
{
    config_.routes[0].open = true;
    config_.routes[0].at_most_once = true;
    expect_invalid("routes[/v1/chat].at_most_once");
}

TEST_F(fleet_config_test, apply_withdraw_key_raises_version_and_removes_key)
{
    config_.version = 7;
    auto const outcome =
        apply(config_, withdraw_key{organisation_id("acme"), digest("aa")});
    ASSERT_TRUE(succeeded(outcome));
    auto const& changed = std::get<fleet_config>(outcome);
    EXPECT_EQ(changed.version, 8U);
    EXPECT_FALSE(find_organisation(changed, digest("aa")).has_value());
}

TEST_F(fleet_config_test, apply_withdraw_unknown_key_is_refused)
{
    auto const outcome =
        apply(config_, withdraw_key{organisation_id("acme"), digest("bb")});
    ASSERT_FALSE(succeeded(outcome));
    EXPECT_EQ(std::get<error>(outcome).code, error_code::not_found);
}

TEST_F(fleet_config_test, find_route_nested_prefixes_returns_longest)
{
    route_config longer;
    longer.path_prefix = "/v1/chat/status";
    longer.pool = pool_id("chat");
    config_.routes.push_back(longer);
    auto const* const found = find_route(config_, "/v1/chat/status/4");
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->path_prefix, "/v1/chat/status");
}

} // namespace
} // namespace carawayturn
