#include "coordination/detail/config_fetcher.hpp"

#include "coordination/detail/table_rows.hpp"
#include "state/config_text.hpp"

#include <algorithm>
#include <map>

namespace carawayturn::detail
{

namespace
{

constexpr duration peer_limit = std::chrono::milliseconds(500);
constexpr duration table_limit = std::chrono::seconds(6);
constexpr duration fetch_again_after = std::chrono::milliseconds(250);
// Longer than two periodic reads of the head, so that peers are asked only while those
// fail; well below the time after which the instance must stop serving.
constexpr duration confirmation_expected_within = std::chrono::milliseconds(2500);
constexpr duration confirmation_every = std::chrono::seconds(1);
// Age sent by an instance whose configuration was never confirmed.
constexpr duration never_confirmed = std::chrono::hours(24);

} // namespace

config_fetcher::config_fetcher(instance_identity const& identity,
                               serving_authority& authority, config_history& history)
    : identity_(identity), authority_(authority), history_(history)
{
}

void config_fetcher::note_version(config_version version)
{
    newest_known_ = std::max(newest_known_, version);
}

void config_fetcher::on_gossip(instance_id const& from, gossip const& message)
{
    for (auto const& entry : message.entries)
        note_version(entry.config);
    if (message.entries.empty() || message.entries.front().id != from)
        return;
    auto const& own = message.entries.front();
    if (own.config > history_.current().version &&
        (!source_ || own.config >= source_->version))
        source_ = source{from, own.peer_address, own.config};
}

void config_fetcher::on_query(time_point now, instance_id const& from,
                              config_query const& query, actions& out) const
{
    auto const live = authority_.live_members(now);
    auto const asker =
        std::find_if(live.begin(), live.end(),
                     [&from](auto const& entry) { return entry.id == from; });
    if (asker == live.end())
        return;
    config_reply reply;
    reply.query = query.query;
    auto const confirmed = authority_.config_confirmed();
    reply.confirmed_age = confirmed ? now - *confirmed : never_confirmed;
    history_.fill_reply(query.have, reply);
    out.emplace_back(send_peer{from, asker->peer_address, std::move(reply)});
}

void config_fetcher::on_reply(time_point now, instance_id const& from,
                              config_reply const& reply, actions& out)
{
    // Changes carry no version of their own: they are only read as the answer to the
    // question that said where they start.
    if (!query_ || query_->query != reply.query || query_->peer != from)
        return;
    peer_question const question = *query_;
    query_.reset();
    next_fetch_ = now;
    note_version(reply.version);
    for (auto const& copy : reply.whole_copy)
        history_.take_copy(copy, out);
    config_version version = question.have;
    for (auto const& change : reply.changes)
        history_.take_change(++version, change, out);
    ask_table_next_ = history_.current().version == question.have;
    if (reply.version <= history_.current().version)
        authority_.confirm_config(question.sent - reply.confirmed_age, reply.version);
}

void config_fetcher::on_tick(time_point now, actions& out)
{
    expire(now);
    if (query_ || read_)
        return;
    if (newest_known_ > history_.current().version)
    {
        if (now >= next_fetch_)
            fetch(now, out);
    }
    else
    {
        ask_confirmation(now, out);
    }
}

void config_fetcher::expire(time_point now)
{
    if (query_ && now - query_->sent >= peer_limit)
    {
        query_.reset();
        source_.reset();
        ask_table_next_ = true;
    }
    if (read_ && now - read_->sent >= table_limit)
        read_.reset();
}

void config_fetcher::fetch(time_point now, actions& out)
{
    bool const peer_known = source_ && source_->version > history_.current().version;
    bool const table_reachable = authority_.has_store_contact(now);
    next_fetch_ = now + fetch_again_after;
    if (peer_known && (!ask_table_next_ || !table_reachable))
        ask_peer(now, source_->peer, source_->address, out);
    else if (table_reachable)
        ask_table(now, out);
}

void config_fetcher::ask_peer(time_point now, instance_id const& peer,
                              endpoint const& address, actions& out)
{
    query_ = peer_question{++questions_, peer, history_.current().version, now};
    out.emplace_back(send_peer{peer, address, config_query{questions_, query_->have}});
}

void config_fetcher::ask_table(time_point now, actions& out)
{
    ask_table_next_ = false;
    table_question question;
    question.operation = operation_id("config-read/" + identity_.id.str() + "/" +
                                      std::to_string(identity_.incarnation) + "/" +
                                      std::to_string(++questions_));
    question.sent = now;
    config_version have = history_.current().version;
    table_read read;
    read.operation = question.operation;
    if (have == 0 && newest_known_ >= copy_every)
    {
        have = newest_known_ / copy_every * copy_every;
        question.copy = have;
        read.keys.push_back(config_copy_key(have));
    }
    auto const last = std::min(newest_known_, have + changes_in_reply);
    for (config_version version = have + 1; version <= last; ++version)
    {
        question.versions.push_back(version);
        read.keys.push_back(config_change_key(version));
    }
    read_ = std::move(question);
    out.emplace_back(store_read{std::move(read)});
}

void config_fetcher::on_table_answer(time_point now, table_answered const& answer,
                                     actions& out)
{
    auto const* const rows = std::get_if<rows_read>(&answer.outcome);
    if (rows != nullptr)
    {
        for (auto const& row : rows->rows)
        {
            if (row.key == config_head_key && row.value)
                note_version(parse_config_head(*row.value).value_or(0));
        }
    }
    if (!read_ || read_->operation != answer.operation)
        return;
    table_question const question = std::move(*read_);
    read_.reset();
    auto const before = history_.current().version;
    if (rows != nullptr)
        take_rows(question, *rows, out);
    next_fetch_ = history_.current().version > before ? now : now + fetch_again_after;
}

void config_fetcher::take_rows(table_question const& question, rows_read const& answer,
                               actions& out)
{
    std::map<std::string, std::string const*> values;
    for (auto const& row : answer.rows)
    {
        if (row.value)
            values[row.key] = &*row.value;
    }
    auto const unreadable = [&out](std::string const& key, error const& reason) {
        out.emplace_back(log_record{203, key, to_string(reason)});
    };
    if (question.copy)
    {
        auto const key = config_copy_key(*question.copy);
        if (auto const found = values.find(key); found != values.end())
        {
            auto copy = parse_config(*found->second);
            if (succeeded(copy))
                history_.take_copy(std::get<fleet_config>(copy), out);
            else
                unreadable(key, std::get<error>(copy));
        }
    }
    for (auto const version : question.versions)
    {
        auto const key = config_change_key(version);
        auto const found = values.find(key);
        if (found == values.end())
            return;
        auto const change = parse_change(*found->second);
        if (succeeded(change))
            history_.take_change(version, std::get<config_change>(change), out);
        else
            unreadable(key, std::get<error>(change));
    }
}

void config_fetcher::ask_confirmation(time_point now, actions& out)
{
    auto const confirmed = authority_.config_confirmed();
    if (!confirmed || now - *confirmed < confirmation_expected_within ||
        now < next_confirmation_ || !authority_.lease_valid(now))
        return;
    next_confirmation_ = now + confirmation_every;
    auto live = authority_.live_members(now);
    std::erase_if(live,
                  [this](member_entry const& entry) { return entry.id == identity_.id; });
    if (live.empty())
        return;
    auto const& peer = live[questions_ % live.size()];
    ask_peer(now, peer.id, peer.peer_address, out);
}

} // namespace carawayturn::detail
