#include "app/core_adapter.hpp"
#include "app/settings.hpp"
#include "transport/duty_thread.hpp"
#include "transport/event_log.hpp"
#include "transport/instance_server.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <string_view>

namespace carawayturn
{
namespace
{

constexpr std::string_view version_text = "carawayturnd " CARAWAYTURN_VERSION;

/// Starts the drain on SIGTERM or SIGINT, on a thread of its own.
class signal_watcher
{
public:
    explicit signal_watcher(instance_server& server)
    {
        signals_.async_wait(
            [&server](boost::system::error_code failure, int)
            {
                if (!failure)
                    server.drain();
            });
        thread_.start();
    }
    ~signal_watcher() { thread_.stop(); }
    signal_watcher(signal_watcher const&) = delete;
    signal_watcher& operator=(signal_watcher const&) = delete;

private:
    duty_thread thread_;
    boost::asio::signal_set signals_{thread_.context(), SIGTERM, SIGINT};
};

int run(daemon_settings settings)
{
    event_log log(settings.server.instance, settings.least_level, std::cerr);
    auto& core = settings.core;
    auto made = instance_server::create(settings.server, log);
    if (!succeeded(made))
    {
        auto const text = to_string(std::get<error>(made));
        log.write(log_number::start_failed, settings.server.instance, text);
        std::cerr << "carawayturnd: " << text << '\n';
        return exit_start_failed;
    }
    auto const server = std::get<0>(std::move(made));
    core.identity.peer_address = {settings.server.peers.listen.address,
                                  server->peer_port()};
    signal_watcher const signals(*server);
    server->start(make_instance_core(core));
    log.write(log_number::process_started, settings.server.instance, version_text);
    server->wait_until_drained();
    log.write(log_number::process_stopped, settings.server.instance, "drained");
    return exit_ok;
}

bool asks_for(int argc, char** argv, std::string_view flag)
{
    for (int at = 1; at < argc; ++at)
    {
        if (std::string_view(argv[at]) == flag)
            return true;
    }
    return false;
}

int start(int argc, char** argv)
{
    if (asks_for(argc, argv, "--help"))
    {
        std::cout << settings_help();
        return exit_ok;
    }
    if (asks_for(argc, argv, "--version"))
    {
        std::cout << version_text << '\n';
        return exit_ok;
    }
    auto settings = read_command_line(argc, argv);
    if (succeeded(settings))
        return run(std::get<daemon_settings>(std::move(settings)));
    auto const& failure = std::get<error>(settings);
    std::cerr << "carawayturnd: " << failure.step << ": " << failure.detail << '\n';
    return exit_usage;
}

} // namespace
} // namespace carawayturn

int main(int argc, char** argv)
{
    try
    {
        return carawayturn::start(argc, argv);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "carawayturnd: " << failure.what() << '\n';
        return carawayturn::exit_internal;
    }
}
