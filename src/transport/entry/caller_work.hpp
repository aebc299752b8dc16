#pragma once

#include <array>
#include <cstddef>
#include <set>
#include <string_view>

namespace carawayturn::entry
{

/// What a caller's connection is busy with.
enum class caller_stage
{
    /// Accepted, or kept after an answer; nothing of a request has been read.
    idle,
    /// A request is being read.
    reading,
    /// A request has been read and is not answered to its end.
    serving
};
inline constexpr std::size_t caller_stage_count = 3;

class caller_work;

/// One caller's connection, counted from its accept to its end.
class caller_connection
{
public:
    explicit caller_connection(caller_work& work);
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;
    virtual ~caller_connection();

    [[nodiscard]] caller_stage stage() const { return stage_; }

protected:
    void enter(caller_stage stage);

private:
    caller_work& work_;
    caller_stage stage_ = caller_stage::idle;
};

/// All that an instance has taken on from its callers.
class caller_work
{
public:
    /// Connections in this stage.
    [[nodiscard]] std::size_t count(caller_stage stage) const;

private:
    friend class caller_connection;
    [[nodiscard]] std::size_t& counter(caller_stage stage);

    std::set<caller_connection*> connections_;
    std::array<std::size_t, caller_stage_count> counts_{};
};

} // namespace carawayturn::entry
