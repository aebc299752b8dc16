#pragma once

#include "state/identifiers.hpp"
#include "transport/http_server.hpp"
#include "transport/http_types.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace carawayturn
{

/// What a backend server gets of a caller's request. It never holds a key.
struct request_content
{
    request_id id;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    /// A chat completion: it can be resumed and cancelled at the engine.
    bool chat = false;
    /// The answer is requested as a stream of events.
    bool stream = false;
};

/// Contents of the requests without a final answer. They are shared, because an attempt
/// may still be sending when the request ends. Safe on any thread.
class request_registry
{
public:
    /// False if a request with the same id is open.
    bool add(std::shared_ptr<request_content const> content)
    {
        std::lock_guard const lock(mutex_);
        auto const id = content->id;
        return contents_.emplace(id, std::move(content)).second;
    }

    [[nodiscard]] std::shared_ptr<request_content const>
    find(request_id const& request) const
    {
        std::lock_guard const lock(mutex_);
        auto const found = contents_.find(request);
        return found == contents_.end() ? nullptr : found->second;
    }

    void remove(request_id const& request)
    {
        std::lock_guard const lock(mutex_);
        contents_.erase(request);
    }

    [[nodiscard]] std::size_t size() const
    {
        std::lock_guard const lock(mutex_);
        return contents_.size();
    }

private:
    mutable std::mutex mutex_;
    std::unordered_map<request_id, std::shared_ptr<request_content const>> contents_;
};

/// Identifies the attempt that output belongs to.
struct attempt_id
{
    request_id request;
    std::uint32_t attempt = 0;
    friend auto operator<=>(attempt_id const&, attempt_id const&) = default;
};

/// Takes the backend servers' output on its way to the callers. Output of an attempt that
/// is not the current one is discarded. Safe on any thread.
class answer_sink
{
public:
    answer_sink() = default;
    answer_sink(answer_sink const&) = delete;
    answer_sink& operator=(answer_sink const&) = delete;
    virtual ~answer_sink() = default;

    /// The whole answer, in one piece.
    virtual void whole_answer(attempt_id const& from, http_answer_head head,
                              std::string body) = 0;
    /// Begins a stream; ignored if an earlier attempt began it.
    virtual void stream_head(attempt_id const& from, http_answer_head head) = 0;
    /// Appends whole server-sent events. The callback runs on the caller thread.
    virtual void stream_data(attempt_id const& from, std::string bytes,
                             written_callback written) = 0;
    virtual void stream_end(attempt_id const& from) = 0;
};

} // namespace carawayturn
