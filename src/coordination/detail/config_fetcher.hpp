#pragma once

#include "coordination/detail/config_history.hpp"

#include <optional>
#include <string>
#include <vector>

namespace carawayturn::detail
{

/// A whole copy is stored with every version that is a multiple of this.
inline constexpr config_version copy_every = 64;

/// Brings the history up to the newest version heard of, from a peer or the table, and
/// asks peers for confirmation while the table does not give it.
class config_fetcher
{
public:
    config_fetcher(instance_identity const& identity, serving_authority& authority,
                   config_history& history);

    void on_tick(time_point now, actions& out);
    void on_gossip(instance_id const& from, gossip const& message);
    void on_query(time_point now, instance_id const& from, config_query const& query,
                  actions& out) const;
    void on_reply(time_point now, instance_id const& from, config_reply const& reply,
                  actions& out);
    void on_table_answer(time_point now, table_answered const& answer, actions& out);

    /// Notes that a version exists.
    void note_version(config_version version);

    [[nodiscard]] config_version newest_known() const { return newest_known_; }

private:
    struct peer_question
    {
        std::uint64_t query = 0;
        instance_id peer;
        config_version have = 0;
        time_point sent{};
    };
    struct table_question
    {
        operation_id operation;
        time_point sent{};
        std::optional<config_version> copy;
        std::vector<config_version> versions;
    };
    struct source
    {
        instance_id peer;
        endpoint address;
        config_version version = 0;
    };

    void fetch(time_point now, actions& out);
    void ask_peer(time_point now, instance_id const& peer, endpoint const& address,
                  actions& out);
    void ask_table(time_point now, actions& out);
    void ask_confirmation(time_point now, actions& out);
    void take_rows(table_question const& question, rows_read const& answer, actions& out);
    void expire(time_point now);

    instance_identity identity_;
    serving_authority& authority_;
    config_history& history_;
    config_version newest_known_ = 0;
    /// The peer that reported the highest version.
    std::optional<source> source_;
    std::optional<peer_question> query_;
    std::optional<table_question> read_;
    std::uint64_t questions_ = 0;
    time_point next_fetch_{};
    time_point next_confirmation_{};
    bool ask_table_next_ = false;
};

} // namespace carawayturn::detail
