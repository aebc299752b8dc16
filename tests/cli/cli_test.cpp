#include "app/cli/commands.hpp"
#include "app/cli/config_diff.hpp"
#include "app/cli/listing.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace carawayturn::cli
{
namespace
{

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::StartsWith;

class cli_test : public ::testing::Test
{
protected:
    exit_code run(std::vector<std::string> const& words)
    {
        return run_command(settings_, words, {out_, err_});
    }

    static fleet_config with_model(std::string const& name, byte_count bytes)
    {
        fleet_config config;
        config.models[model_id(name)] = {model_id(name), "1", bytes, 1};
        return config;
    }

    cli_settings settings_;
    std::ostringstream out_;
    std::ostringstream err_;
};

TEST_F(cli_test, run_unknown_command_names_it)
{
    EXPECT_EQ(run({"remove-all"}), exit_code::usage);
    EXPECT_THAT(err_.str(), HasSubstr("remove-all"));
}

TEST_F(cli_test, run_command_without_parameter_prints_usage)
{
    EXPECT_EQ(run({"submit"}), exit_code::usage);
    EXPECT_THAT(err_.str(), HasSubstr("submit FILE"));
}

TEST_F(cli_test, validate_missing_file_is_refused)
{
    EXPECT_EQ(run({"validate", "/nonexistent/config.json"}), exit_code::refused);
    EXPECT_THAT(err_.str(), HasSubstr("/nonexistent/config.json"));
}

TEST_F(cli_test, diff_changed_added_and_removed_lists_each_once)
{
    auto before = with_model("kept", 1);
    before.models[model_id("old")] = {model_id("old"), "1", 1, 1};
    auto after = with_model("kept", 2);
    after.models[model_id("new")] = {model_id("new"), "1", 1, 1};
    EXPECT_THAT(diff_configs(before, after),
                ElementsAre(StartsWith("~ models[kept]"), StartsWith("- models[old]"),
                            StartsWith("+ models[new]")));
}

TEST_F(cli_test, diff_other_version_only_is_empty)
{
    auto before = with_model("kept", 1);
    auto after = before;
    after.version = 9;
    EXPECT_TRUE(diff_configs(before, after).empty());
}

TEST_F(cli_test, parse_endpoint_port_out_of_range_is_refused)
{
    EXPECT_FALSE(parse_endpoint("127.0.0.1:70000").has_value());
    EXPECT_FALSE(parse_endpoint("127.0.0.1:0").has_value());
    EXPECT_FALSE(parse_endpoint("127.0.0.1").has_value());
    EXPECT_EQ(parse_endpoint("127.0.0.1:9090"), (endpoint{"127.0.0.1", 9090}));
}

TEST_F(cli_test, print_part_picks_member_of_dump)
{
    EXPECT_EQ(print_part(listed_part::leases, R"({"authority":{"slot":3},"other":1})"),
              "{\n  \"slot\": 3\n}");
}

} // namespace
} // namespace carawayturn::cli
