#include "app/entry/hedge_environment.hpp"
#include "platform/settings_file.hpp"
#include "transport/entry/entry_node.hpp"

#include <malloc.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace
{

using namespace carawayturn;

/// Free memory at the top of the heap is returned to the system above this size, in
/// bytes.
constexpr int trim_threshold = 128 * 1024;

result<entry::node_settings> read_settings()
{
    auto const path = platform::settings_path();
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return error{error_code::not_found, "settings", path, "cannot be opened"};
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    return platform::decode_settings(text);
}

/// Reads the settings if forced, or if the file has changed since the last read.
class changed_settings_reader
{
public:
    std::optional<result<entry::node_settings>> operator()(bool force)
    {
        std::error_code unknown;
        auto const modified =
            std::filesystem::last_write_time(platform::settings_path(), unknown);
        bool const changed = !unknown && modified != last_modified_;
        // A failure to read the modification time is ignored here; it is reported as an
        // error when a read is forced.
        if (!force && !changed)
            return std::nullopt;
        last_modified_ = modified;
        return read_settings();
    }

    /// Records the current modification time, so that only later changes count.
    void mark_current_as_read()
    {
        std::error_code unknown;
        last_modified_ =
            std::filesystem::last_write_time(platform::settings_path(), unknown);
    }

private:
    std::filesystem::file_time_type last_modified_;
};

int fail(error const& failure)
{
    std::fprintf(stderr, "carawayturn-entry: %s\n", to_string(failure).c_str());
    return 1;
}

/// Distinguishes this process from earlier ones of the same name.
std::uint64_t new_incarnation()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

int main()
{
    mallopt(M_TRIM_THRESHOLD, trim_threshold);
    mallopt(M_ARENA_MAX, 1);
    std::signal(SIGPIPE, SIG_IGN);
    changed_settings_reader reader;
    reader.mark_current_as_read();
    auto settings = read_settings();
    if (!succeeded(settings))
        return fail(std::get<error>(settings));
    auto const hedging =
        entry::read_hedge_limits([](char const* name) { return std::getenv(name); });
    if (!succeeded(hedging))
        return fail(std::get<error>(hedging));
    auto& node_settings = std::get<entry::node_settings>(settings);
    node_settings.hedging = std::get<entry::hedge_limits>(hedging);
    entry::entry_node node(std::move(node_settings), reader, new_incarnation());
    auto const ended = node.run();
    // Exits without running destructors, because suspended requests refer to the node and
    // to each other.
    std::_Exit(succeeded(ended) ? 0 : fail(std::get<error>(ended)));
}
