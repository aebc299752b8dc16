// Checks the tables of docs/OPERATIONS.md against the code that they describe.
#include "state/log_catalogue.hpp"
#include "state/request.hpp"

#include <gmock/gmock.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace carawayturn
{
namespace
{

std::string read_text(std::filesystem::path const& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// The cells of a table row without surrounding blanks; empty for other lines.
std::vector<std::string> cells_of(std::string const& line)
{
    std::vector<std::string> cells;
    if (!line.starts_with('|'))
        return cells;
    std::istringstream rest(line.substr(1));
    for (std::string cell; std::getline(rest, cell, '|');)
    {
        auto const first = cell.find_first_not_of(' ');
        auto const last = cell.find_last_not_of(' ');
        cells.push_back(
            first == std::string::npos ? "" : cell.substr(first, last - first + 1));
    }
    return cells;
}

class operations_page_test : public testing::Test
{
protected:
    operations_page_test()
    {
        std::istringstream page(read_text(CARAWAYTURN_OPERATIONS_PAGE));
        std::string section;
        for (std::string line; std::getline(page, line);)
        {
            if (line.starts_with("## "))
                section = line;
            auto cells = cells_of(line);
            // A row of five or more cells whose first cell is neither title nor rule.
            if (cells.size() < 5 || cells[0].starts_with("---"))
                continue;
            if (section == "## 6. Log events" && cells[0] != "Number")
                event_rows_.push_back(std::move(cells));
            else if (section == "## 5. Refusals" && cells[0] != "Code")
                refusal_rows_.push_back(std::move(cells));
        }
    }

    std::vector<std::vector<std::string>> event_rows_;
    std::vector<std::vector<std::string>> refusal_rows_;
};

std::string_view level_name(log_level level)
{
    constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
    return names[static_cast<std::size_t>(level)];
}

// Guards against two events under one number, and an entry out of place.
TEST(log_catalogue_test, events_numbers_are_unique_and_ordered)
{
    auto const events = log_events();
    ASSERT_FALSE(events.empty());
    EXPECT_EQ(std::adjacent_find(events.begin(), events.end(),
                                 [](log_event const& left, log_event const& right)
                                 { return left.number >= right.number; }),
              events.end());
}

// Guards against two events under one name.
TEST(log_catalogue_test, events_names_are_unique)
{
    std::set<std::string_view> names;
    for (auto const& event : log_events())
        EXPECT_TRUE(names.insert(event.name).second) << event.name;
}

// Guards against a new, renamed or removed event that the page doesn't follow, and
// against a row without cause or remedy.
TEST_F(operations_page_test, event_rows_equal_catalogue)
{
    std::vector<std::string> listed;
    for (auto const& row : event_rows_)
    {
        listed.push_back(row[0] + " " + row[1] + " " + row[2]);
        EXPECT_EQ(row.size(), 5U) << row[0];
        EXPECT_FALSE(row[3].empty()) << row[0];
        EXPECT_FALSE(row[4].empty()) << row[0];
    }
    std::vector<std::string> expected;
    for (auto const& event : log_events())
        expected.push_back(std::to_string(event.number) + " `" + std::string(event.name) +
                           "` " + std::string(level_name(event.level)));
    EXPECT_THAT(listed, testing::ElementsAreArray(expected));
}

// Guards against a refusal code or a status that the page doesn't follow.
TEST_F(operations_page_test, refusal_rows_equal_codes)
{
    std::vector<std::string> listed;
    for (auto const& row : refusal_rows_)
    {
        listed.push_back(row[0] + " " + row[1]);
        EXPECT_EQ(row.size(), 5U) << row[0];
        EXPECT_TRUE(row[2].starts_with("not-run") || row[2].starts_with("unknown"))
            << row[0];
        EXPECT_FALSE(row[3].empty()) << row[0];
        EXPECT_FALSE(row[4].empty()) << row[0];
    }
    std::vector<std::string> expected;
    // bad_request is the last code; name_of() throws beyond the table.
    auto const last = static_cast<int>(refusal_code::bad_request);
    for (int code = 0; code <= last; ++code)
        expected.push_back("`" + std::string(name_of(refusal_code(code))) + "` " +
                           std::to_string(http_status(refusal_code(code))));
    EXPECT_THAT(listed, testing::UnorderedElementsAreArray(expected));
    EXPECT_ANY_THROW((void)name_of(refusal_code(last + 1)));
}

/// Numbers that the sources log, by the three forms in use: a literal in log_record or a
/// log() call, and 16-bit constants of three digits.
std::set<int> numbers_in(std::string const& source)
{
    static std::regex const forms[] = {
        std::regex(R"(log_record\{\s*([0-9]+))"), std::regex(R"(\blog\(\s*([0-9]{3}),)"),
        std::regex(R"(constexpr std::uint16_t\s+[a-z_]+\s*=\s*([1-8][0-9]{2});)")};
    std::set<int> numbers;
    for (auto const& form : forms)
    {
        for (std::sregex_iterator each(source.begin(), source.end(), form), end;
             each != end; ++each)
            numbers.insert(std::stoi((*each)[1].str()));
    }
    return numbers;
}

/// Numbers of the events in `enumeration` that `sources` log by name.
std::set<int> named_numbers_in(std::string const& enumeration, std::string const& sources)
{
    static std::regex const enumerator(R"(\n\s+([a-z_]+) = ([0-9]{4}))");
    std::set<int> numbers;
    for (std::sregex_iterator each(enumeration.begin(), enumeration.end(), enumerator),
         end;
         each != end; ++each)
        if (sources.find("entry_event::" + (*each)[1].str()) != std::string::npos)
            numbers.insert(std::stoi((*each)[2].str()));
    return numbers;
}

// Guards against an event that is logged as "unlisted", and against a catalogue entry
// that nothing logs any more.
TEST(log_catalogue_test, numbers_in_sources_equal_catalogue)
{
    std::set<int> used;
    std::string sources;
    for (auto const& entry :
         std::filesystem::recursive_directory_iterator(CARAWAYTURN_SOURCE_FOLDER))
    {
        auto const extension = entry.path().extension();
        if (extension != ".cpp" && extension != ".hpp")
            continue;
        auto const source = read_text(entry.path());
        used.merge(numbers_in(source));
        sources += source;
    }
    std::filesystem::path const folder = CARAWAYTURN_SOURCE_FOLDER;
    used.merge(
        named_numbers_in(read_text(folder / "state/entry/entry_event.hpp"), sources));
    std::set<int> listed;
    for (auto const& event : log_events())
        listed.insert(event.number);
    EXPECT_THAT(used, testing::ElementsAreArray(listed));
}

} // namespace
} // namespace carawayturn
