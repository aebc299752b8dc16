#pragma once

#include "coordination/entry/answered_parts.hpp"
#include "state/entry/node_message.hpp"
#include "state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Hash that is equal for requests that differ only in their id.
[[nodiscard]] std::uint64_t request_signature(std::string_view target,
                                              std::string_view organisation,
                                              std::string_view body);

/// Hash of a part of a prompt, whatever else the requests of the service hold.
[[nodiscard]] std::uint64_t part_signature(std::string_view service, std::string_view id);

/// What crashes under a request are counted for.
struct crash_signatures
{
    /// The request as a whole.
    std::uint64_t request = 0;
    /// The parts of its prompt that other requests can share.
    std::vector<std::uint64_t> parts;
};

/// What an instance knows of a crash of a backend server.
struct detected_crash
{
    /// Attempts of this instance that broke off with the server.
    std::size_t broken_attempts = 0;
    /// The highest number of crashes that one of their signatures has reached.
    std::uint32_t most_crashes = 0;
};

/// Counts, for each signature, the backend server crashes during which a request with it
/// had just begun or was still to begin. After a few crashes, requests with the signature
/// are refused at every instance. Requests with one signature in flight at one crash
/// count once, and an answer to one of them clears it, so that servers that crash for
/// other reasons do not block harmless requests. Handles the load patterns "a request
/// crashes each server that runs it and is sent again" and "a part of prompts crashes
/// each server that answers it, and no two of the requests are alike".
class crash_tracker
{
public:
    crash_tracker();

    /// Records that an attempt's connection broke without a complete answer. This counts
    /// only if the server turns out to have crashed. Returns whether that should be
    /// checked now.
    bool note_broken_attempt(std::string const& server,
                             crash_signatures const& signatures, time_point now);
    /// Records an answer whose end only the end of its connection marks. The server may
    /// have ended with it, so the answer proves nothing before note_alive(), and counts
    /// as a broken attempt if the server turns out to have crashed.
    /// @param success as in note_answered().
    /// @param suspect whether the content of the answer began so lately that the request
    ///     can be the cause of a crash.
    /// Returns whether a check of the server is to be started.
    [[nodiscard]] bool note_unproven_end(std::string const& server,
                                         crash_signatures const& signatures, bool success,
                                         bool suspect, time_point now);
    /// Records that the server's process was alive at this time, so that answers which
    /// ended before were complete. Returns whether later ones are left, which need
    /// another check.
    bool note_alive(std::string const& server, time_point alive_at);
    /// Forgets the ended answers of a server that cannot be checked.
    void drop_unproven_ends(std::string const& server);
    /// Records a crash: the server refuses connections or has a new incarnation. Returns
    /// nothing if this crash is known already and no further attempt broke off with it.
    std::optional<detected_crash> note_crash(std::string const& server, time_point now);
    /// Records that a server answered the request. `success` tells whether it ran it to a
    /// good end, which clears the parts of its prompt too.
    void note_answered(crash_signatures const& signatures, bool success, time_point now);
    /// Merges the counts over all instances that the hub sent.
    void merge_fleet_counts(std::vector<crash_count> const& crashes,
                            std::vector<std::uint64_t> const& cleared, time_point now);

    /// Returns whether the request must not be sent to a server again.
    [[nodiscard]] bool is_blocked(crash_signatures const& signatures) const;
    /// Records that the request was refused because it is blocked. A signature stays
    /// blocked as long as such requests come.
    void note_refused(crash_signatures const& signatures, time_point now);

    /// Returns the reports for the hub since the last call: crashes, and signatures that
    /// are still refused here, which name no server.
    [[nodiscard]] std::vector<crash_report> take_new_reports();
    /// Returns the suspected signatures that were answered at this instance since the
    /// last call.
    [[nodiscard]] std::vector<std::uint64_t> take_cleared();
    /// Returns the signatures that are blocked since the last call.
    [[nodiscard]] std::vector<crash_count> take_newly_blocked();
    void expire(time_point now);

private:
    struct broken_attempt
    {
        std::string server;
        crash_signatures signatures;
        time_point at{};
    };
    struct unproven_end
    {
        crash_signatures signatures;
        bool success = false;
        bool suspect = false;
        time_point at{};
    };
    struct suspicion
    {
        std::uint32_t crashes = 0;
        /// The last crash, or the last request that was refused.
        time_point last{};
        time_point crashed_at{};
        /// The server that crashed last.
        std::string server;
        /// This instance has seen a crash or has refused a request itself.
        bool seen_here = false;
        /// When the hub was last told that the signature is blocked.
        std::optional<time_point> reported_at;
    };
    /// Takes the ended answers of a server that has crashed for broken attempts.
    void suspect_unproven_ends(std::string const& server);
    [[nodiscard]] bool is_blocked(std::uint64_t signature) const;
    void count_crash(std::uint64_t signature, std::string const& server, time_point now,
                     detected_crash& crash);
    /// Sets the number of crashes of a signature.
    void set_crashes(std::uint64_t signature, suspicion& entry, std::uint32_t crashes);
    void clear(std::uint64_t signature);
    void report_blocked(std::uint64_t signature, suspicion& entry, time_point now);
    void add_report(crash_report report);
    /// Tells a hub that does not list them about the signatures that are blocked here.
    void report_unlisted(std::set<std::uint64_t> const& listed, time_point now);

    answered_parts answered_;
    std::vector<broken_attempt> broken_;
    /// Answers whose servers are to be checked, by server, the oldest first.
    std::map<std::string, std::vector<unproven_end>> unproven_ends_;
    std::size_t unproven_count_ = 0;
    /// When each server's latest crash was detected.
    std::map<std::string, time_point> detected_at_;
    std::map<std::uint64_t, suspicion> counts_;
    std::vector<crash_report> new_reports_;
    std::vector<std::uint64_t> newly_cleared_;
    std::vector<crash_count> newly_blocked_;
};

/// The hub's crash counts over all instances.
class fleet_crash_tracker
{
public:
    /// Returns whether a signature is blocked by these reports that was not before.
    bool add_reports(std::vector<crash_report> const& crashes, time_point now);
    void note_cleared(std::vector<std::uint64_t> const& signatures, time_point now);
    /// Returns the signatures with more than one crash; one crash alone raises no
    /// suspicion.
    [[nodiscard]] std::vector<crash_count> suspects(time_point now);
    /// Returns the signatures that have reached the limit of crashes.
    [[nodiscard]] std::vector<crash_count> blocked() const;
    /// Returns the signatures that were cleared recently.
    [[nodiscard]] std::vector<std::uint64_t> cleared(time_point now);

private:
    struct suspect
    {
        std::uint32_t crashes = 0;
        /// The last report.
        time_point last{};
        /// The last crash that was counted.
        time_point crashed_at{};
        /// When each server last crashed with such a request in flight.
        std::map<std::string, time_point> servers;
    };
    /// Adds a report to the count of its signature.
    void add_report(crash_report const& report, suspect& entry, time_point now);

    std::map<std::uint64_t, suspect> suspects_;
    std::map<std::uint64_t, time_point> cleared_;
};

} // namespace carawayturn::entry
