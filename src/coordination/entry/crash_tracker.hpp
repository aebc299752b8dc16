#pragma once

#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Hash that is equal for requests that differ only in their id.
[[nodiscard]] std::uint64_t request_signature(std::string_view target,
                                              std::string_view organisation,
                                              std::string_view body);

/// What an instance knows of a crash of a backend server.
struct detected_crash
{
    /// Attempts of this instance that broke off with the server.
    std::size_t broken_attempts = 0;
    /// The highest number of crashes that one of their signatures has reached.
    std::uint32_t most_crashes = 0;
};

/// Counts, for each request signature, the backend server crashes during which such a
/// request was in flight. A request is refused at every instance after a few crashes.
/// Equal requests in flight at one crash count once, and an answer to one of them clears
/// all, so that servers that crash for other reasons do not block harmless requests.
/// Handles the load pattern "a request crashes each server that runs it and is sent
/// again".
class crash_tracker
{
public:
    /// Records that an attempt's connection broke without a complete answer. This counts
    /// only if the server turns out to have crashed. Returns whether that should be
    /// checked now.
    bool note_broken_attempt(std::string const& server, std::uint64_t signature,
                             time_point now);
    /// Records a crash: the server refuses connections or has a new incarnation. Returns
    /// nothing if this crash is known already and no further attempt broke off with it.
    std::optional<detected_crash> note_crash(std::string const& server, time_point now);
    /// Records that a server answered the request, which clears its signature.
    void note_cleared(std::uint64_t signature);
    /// Merges the counts over all instances that the hub sent.
    void merge_fleet_counts(std::vector<crash_count> const& crashes,
                            std::vector<std::uint64_t> const& cleared, time_point now);

    /// Returns whether the request must not be sent to a server again.
    [[nodiscard]] bool is_blocked(std::uint64_t signature) const;
    /// Returns the crashes that this instance detected since the last call.
    [[nodiscard]] std::vector<crash_report> take_new_reports();
    /// Returns the suspected signatures that were answered at this instance since the
    /// last call.
    [[nodiscard]] std::vector<std::uint64_t> take_cleared();
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
    /// When each server's latest crash was detected.
    std::map<std::string, time_point> detected_at_;
    std::map<std::uint64_t, count> counts_;
    std::vector<crash_report> new_reports_;
    std::vector<std::uint64_t> newly_cleared_;
};

/// The hub's crash counts over all instances.
class fleet_crash_tracker
{
public:
    void add_reports(std::vector<crash_report> const& crashes, time_point now);
    void note_cleared(std::vector<std::uint64_t> const& signatures, time_point now);
    /// Returns the signatures with more than one crash; one crash alone raises no
    /// suspicion.
    [[nodiscard]] std::vector<crash_count> suspects(time_point now);
    /// Returns the signatures that were cleared recently.
    [[nodiscard]] std::vector<std::uint64_t> cleared(time_point now);

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        time_point last{};
        /// When each server last crashed with such a request in flight.
        std::map<std::string, time_point> servers;
    };
    std::map<std::uint64_t, suspect> suspects_;
    std::map<std::uint64_t, time_point> cleared_;
};

} // namespace carawayturn::entry
