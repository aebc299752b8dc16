#pragma once

#include "state/time.hpp"

#include <map>
#include <string>

namespace carawayturn::entry
{

/// How long work takes on a server's machine, relative to the usual time, as the server
/// last reported it. Answers the load pattern "servers share machines, and some are
/// several times slower for a fraction of a second".
class server_pace
{
public:
    void report(double pace, time_point now);
    /// Returns the factor by which work takes longer; 1 if nothing recent is known.
    [[nodiscard]] double at(time_point now) const;

private:
    double reported_ = 1;
    time_point reported_at_{};
};

/// Records which services' servers report their pace. Only these have an admission queue.
class paced_services
{
public:
    void report(std::string const& service, time_point now) { reported_[service] = now; }
    [[nodiscard]] bool contains(std::string const& service, time_point now) const;

private:
    std::map<std::string, time_point> reported_;
};

} // namespace carawayturn::entry
