#pragma once

#include "coordination/action.hpp"
#include "transport/core_loop.hpp"
#include "transport/event_log.hpp"
#include "transport/http_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace carawayturn
{

struct admin_settings
{
    endpoint listen{"127.0.0.1", 0};
    std::string operator_token;
    http_limits limits;
    /// Made operation ids begin with it; unique to this process.
    std::string id_prefix;
};

/// The operators' interface on a port of its own: configuration, changes, the state dump,
/// drain and explanations of requests. Each call needs the operator token.
class admin_server
{
public:
    /// `drain` is called once for each POST /admin/drain.
    admin_server(admin_settings settings, event_sink& events, event_log& log,
                 std::function<void()> drain);
    ~admin_server();
    admin_server(admin_server const&) = delete;
    admin_server& operator=(admin_server const&) = delete;

    [[nodiscard]] result<std::uint16_t> listen();
    void start();
    void stop();

    /// Answers the operators that wait for this submission. Safe on any thread.
    void answer(answer_submission answer);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn
