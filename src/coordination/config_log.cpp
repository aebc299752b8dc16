#include "coordination/config_log.hpp"

#include "coordination/detail/config_fetcher.hpp"
#include "coordination/detail/config_history.hpp"
#include "coordination/detail/config_submissions.hpp"

#include <boost/json.hpp>

namespace carawayturn
{

namespace
{

class config_log_state : public config_log
{
public:
    config_log_state(instance_identity identity, serving_authority& authority)
        : history_(authority), fetcher_(identity, authority, history_),
          submissions_(std::move(identity), authority, history_, fetcher_)
    {
    }

    void handle(time_point now, event const& input, actions& out) override
    {
        if (std::holds_alternative<tick>(input))
        {
            fetcher_.on_tick(now, out);
            submissions_.on_tick(now, out);
        }
        else if (auto const* const answer = std::get_if<table_answered>(&input))
        {
            fetcher_.on_table_answer(now, *answer, out);
            submissions_.on_table_answer(now, *answer, out);
        }
        else if (auto const* const received = std::get_if<peer_received>(&input))
        {
            on_peer(now, *received, out);
        }
        else if (auto const* const submitted = std::get_if<change_submitted>(&input))
        {
            submissions_.submit(now, *submitted, out);
        }
    }

    [[nodiscard]] fleet_config const& current() const override
    {
        return history_.current();
    }

    [[nodiscard]] std::string dump(time_point /*now*/) const override
    {
        return boost::json::serialize(
            boost::json::object{{"version", current().version},
                                {"newest_known", fetcher_.newest_known()},
                                {"open_submissions", submissions_.open()}});
    }

private:
    void on_peer(time_point now, peer_received const& received, actions& out)
    {
        if (auto const* const message = std::get_if<gossip>(&received.message))
            fetcher_.on_gossip(received.from, *message);
        else if (auto const* const query = std::get_if<config_query>(&received.message))
            fetcher_.on_query(now, received.from, *query, out);
        else if (auto const* const reply = std::get_if<config_reply>(&received.message))
            fetcher_.on_reply(now, received.from, *reply, out);
    }

    detail::config_history history_;
    detail::config_fetcher fetcher_;
    detail::config_submissions submissions_;
};

} // namespace

std::unique_ptr<config_log> config_log::create(instance_identity identity,
                                               serving_authority& authority)
{
    return std::make_unique<config_log_state>(std::move(identity), authority);
}

} // namespace carawayturn
