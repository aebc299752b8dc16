#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace carawayturn::standins
{

struct http_client_answer
{
    /// 0 if the connection failed or was aborted.
    unsigned status = 0;
    std::string body;
};

/// One POST to a server on 127.0.0.1; another thread may abort it.
class http_client
{
public:
    http_client();
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends the body and waits for the answer. To be called once.
    [[nodiscard]] http_client_answer post(std::uint16_t port, std::string const& path,
                                          std::string const& body);

    /// Ends a call in progress and lets a later one fail.
    void abort();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace carawayturn::standins
