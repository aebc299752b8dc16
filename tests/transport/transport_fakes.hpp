#pragma once

#include "state/hash.hpp"
#include "transport/core_driver.hpp"
#include "transport/core_loop.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace carawayturn
{

/// Shared between a scripted core, which runs on the core thread, and its test.
class core_script
{
public:
    /// Actions for one event; called on the core thread.
    std::function<actions(event const&)> respond;
    bool orders_allowed = true;

    void record(event const& input)
    {
        std::lock_guard const lock(mutex_);
        events_.push_back(input);
        changed_.notify_all();
    }

    /// Waits for the given number of events of a kind and returns the last of them. A
    /// test that never sees it hangs and is ended by the test runner's own limit.
    template <class Event>
    Event wait_for(std::size_t count = 1)
    {
        std::unique_lock lock(mutex_);
        Event found;
        changed_.wait(lock,
                      [&]
                      {
                          std::size_t seen = 0;
                          for (auto const& each : events_)
                          {
                              if (auto const* const match = std::get_if<Event>(&each))
                              {
                                  ++seen;
                                  found = *match;
                              }
                          }
                          return seen >= count;
                      });
        return found;
    }

    template <class Event>
    std::size_t count()
    {
        std::lock_guard const lock(mutex_);
        std::size_t seen = 0;
        for (auto const& each : events_)
            seen += std::holds_alternative<Event>(each) ? 1 : 0;
        return seen;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<event> events_;
};

class scripted_core : public core_driver
{
public:
    explicit scripted_core(std::shared_ptr<core_script> script)
        : script_(std::move(script))
    {
    }

    actions handle(time_point, event const& input) override
    {
        script_->record(input);
        return script_->respond ? script_->respond(input) : actions{};
    }
    bool may_send_order(time_point, engine_order const&) const override
    {
        return script_->orders_allowed;
    }
    std::string dump(time_point) const override { return R"({"state":"scripted"})"; }
    std::string explain(request_id const& request) const override
    {
        return request.str() == "known" ? R"({"request":"known"})" : "";
    }
    fleet_config const& config() const override { return config_; }

private:
    std::shared_ptr<core_script> script_;
    fleet_config config_;
};

/// Drops all actions, for tests that call a duty directly.
class no_actions : public action_sink
{
public:
    void take(action) override {}
};

/// A blocking connection of a test, as a caller or as a backend server.
class test_connection
{
public:
    explicit test_connection(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    static test_connection to(std::uint16_t port)
    {
        static boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
        return test_connection(std::move(socket));
    }

    void send(std::string const& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(text), ignored);
    }

    /// Reads until the text has arrived or the peer closes; returns all up to its end.
    std::string read_until(std::string const& wanted)
    {
        while (pending_.find(wanted) == std::string::npos && read_more())
        {
        }
        auto const found = pending_.find(wanted);
        auto const end =
            found == std::string::npos ? pending_.size() : found + wanted.size();
        std::string text = pending_.substr(0, end);
        pending_.erase(0, end);
        return text;
    }

    /// Reads one message with a Content-Length, or without a body.
    std::string read_message()
    {
        std::string text = read_until("\r\n\r\n");
        auto const at = text.find("Content-Length: ");
        if (at == std::string::npos)
            return text;
        auto const length = std::stoul(text.substr(at + 16));
        while (pending_.size() < length && read_more())
        {
        }
        text += pending_.substr(0, length);
        pending_.erase(0, std::min(length, pending_.size()));
        return text;
    }

    /// Whether the peer has closed or reset the connection; waits for it.
    bool read_to_end()
    {
        while (read_more())
        {
        }
        return true;
    }

    void close() { socket_.close(); }

private:
    bool read_more()
    {
        std::array<char, 4096> part{};
        boost::system::error_code failure;
        auto const size = socket_.read_some(boost::asio::buffer(part), failure);
        pending_.append(part.data(), size);
        return !failure;
    }

    boost::asio::ip::tcp::socket socket_;
    std::string pending_;
};

/// Listens on a free loopback port.
class test_listener
{
public:
    test_listener() : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}) {}
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] test_connection accept() { return test_connection(acceptor_.accept()); }
    void close() { acceptor_.close(); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

/// Returns the text of a request or an answer with a Content-Length.
inline std::string message(std::string const& head, std::string const& body)
{
    return head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace carawayturn
