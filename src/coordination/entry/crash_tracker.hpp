#pragma once

#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Identifies requests that are equal but for their id.
[[nodiscard]] std::uint64_t request_signature(std::string_view target,
                                              std::string_view organisation,
                                              std::string_view body);

/// Counts at how many crashes of backend servers requests were in flight. Answers the
/// load pattern "a request crashes each server that runs it and is sent again": it is
/// refused everywhere after a few crashes. Equal requests that were in flight at one
/// crash count once, and an answer to one of them clears them all, so that servers that
/// crash for other reasons block no harmless request.
class crash_tracker
{
public:
    /// A request's connection broke without an answer. It counts once the server turns
    /// out to have crashed.
    void note_broken_attempt(std::string const& server, std::uint64_t signature,
                             time_point now);
    /// The server does not accept connections, or has a new incarnation.
    void note_crash(std::string const& server, time_point now);
    /// A server answered the request.
    void note_survived(std::uint64_t signature);
    /// The sums over all instances, as the hub tells.
    void merge_fleet_counts(std::vector<crash_count> const& crashes,
                            std::vector<std::uint64_t> const& survived, time_point now);

    /// Whether the request may not reach a server again.
    [[nodiscard]] bool is_blocked(std::uint64_t signature) const;
    /// Crashes seen here since the last call.
    [[nodiscard]] std::vector<crash_report> take_new_reports();
    /// Suspected signatures that were answered here since the last call.
    [[nodiscard]] std::vector<std::uint64_t> take_survived();
    void expire(time_point now);

private:
    struct broken_attempt
    {
        std::string server;
        std::uint64_t signature = 0;
        time_point at{};
    };
    struct count
    {
        std::uint32_t crashes = 0;
        time_point last{};
    };
    std::vector<broken_attempt> broken_;
    std::map<std::uint64_t, count> counts_;
    std::vector<crash_report> new_reports_;
    std::vector<std::uint64_t> survived_;
};

/// The hub's sum over all instances.
class fleet_crash_tracker
{
public:
    void add_reports(std::vector<crash_report> const& crashes, time_point now);
    void note_survived(std::vector<std::uint64_t> const& signatures, time_point now);
    /// Signatures with more than one crash; the others are no suspects yet.
    [[nodiscard]] std::vector<crash_count> suspects(time_point now);
    /// Signatures that were cleared of late.
    [[nodiscard]] std::vector<std::uint64_t> cleared(time_point now);

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        time_point last{};
        /// When each server crashed last with such a request in flight.
        std::map<std::string, time_point> servers;
    };
    std::map<std::uint64_t, suspect> suspects_;
    std::map<std::uint64_t, time_point> cleared_;
};

} // namespace carawayturn::entry
