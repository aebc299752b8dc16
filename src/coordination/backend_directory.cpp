#include "coordination/backend_directory.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace carawayturn
{

namespace
{

// Outlasts any lag of the platform's list, after which a removed server cannot be listed
// as live again.
constexpr duration remember_leaving = std::chrono::hours(1);

struct known_backend
{
    backend_status status;
    bool listed = true;
};

/// The highest incarnation of a backend server that is known to be leaving.
struct leaving_note
{
    incarnation_number incarnation = 0;
    time_point noted_at{};
};

class directory_state : public backend_directory
{
public:
    void handle(time_point now, event const& input, actions& out) override
    {
        if (auto const* const listed = std::get_if<instances_listed>(&input))
            on_list(now, listed->instances, out);
        else if (auto const* const received = std::get_if<report_received>(&input))
            on_report(now, received->report, out);
        else if (auto const* const lost = std::get_if<backend_unreachable>(&input))
            on_unreachable(lost->backend, out);
        else if (auto const* const answer = std::get_if<order_answered>(&input))
            on_incarnation(answer->order.backend, answer->incarnation, out);
        else if (auto const* const peer = std::get_if<peer_received>(&input))
            on_peer(now, peer->message, out);
    }

    [[nodiscard]] std::optional<backend_status> find(backend_id const& id) const override
    {
        auto const found = backends_.find(id);
        return found == backends_.end() ? std::nullopt
                                        : std::optional(found->second.status);
    }

    [[nodiscard]] std::vector<backend_status> usable(pool_id const& pool) const override
    {
        std::vector<backend_status> found;
        for (auto const& [id, known] : backends_)
        {
            if (known.status.pool == pool && known.listed && known.status.reachable &&
                !known.status.leaving)
                found.push_back(known.status);
        }
        return found;
    }

    [[nodiscard]] std::vector<backend_status> all() const override
    {
        std::vector<backend_status> found;
        for (auto const& [id, known] : backends_)
            found.push_back(known.status);
        return found;
    }

    [[nodiscard]] std::vector<std::pair<backend_id, incarnation_number>>
    leaving() const override
    {
        std::vector<std::pair<backend_id, incarnation_number>> found;
        for (auto const& [id, note] : leaving_)
            found.emplace_back(id, note.incarnation);
        return found;
    }

    [[nodiscard]] std::string dump(time_point now) const override;

private:
    void on_list(time_point now, std::vector<listed_instance> const& instances,
                 actions& out);
    void on_listed(time_point now, listed_instance const& line, actions& out);
    void on_report(time_point now, backend_report const& report, actions& out);
    void on_unreachable(backend_id const& id, actions& out);
    void on_incarnation(backend_id const& id, incarnation_number incarnation,
                        actions& out);
    void on_peer(time_point now, peer_message const& message, actions& out);
    void note_leaving(time_point now, backend_id const& id,
                      incarnation_number incarnation, actions& out);
    void apply_leaving(backend_status& status, actions& out) const;
    void note_incarnation(known_backend& known, incarnation_number incarnation,
                          actions& out);
    void drop_unlisted(std::set<backend_id> const& listed, actions& out);
    static void raise_crash(backend_status const& status, std::string const& reason,
                            actions& out);

    std::map<backend_id, known_backend> backends_;
    std::map<backend_id, leaving_note> leaving_;
};

void directory_state::on_list(time_point now,
                              std::vector<listed_instance> const& instances, actions& out)
{
    // This instance itself is registered, so an empty list is a fault of the platform.
    if (instances.empty())
    {
        out.emplace_back(log_record{114, "", "ignored"});
        return;
    }
    std::set<backend_id> listed;
    for (auto const& line : instances)
    {
        if (line.kind != "runner" && line.kind != "plain")
            continue;
        listed.insert(backend_id(line.id));
        on_listed(now, line, out);
    }
    drop_unlisted(listed, out);
    std::erase_if(leaving_,
                  [this, now](auto const& item)
                  {
                      return !backends_.contains(item.first) &&
                             now - item.second.noted_at > remember_leaving;
                  });
}

void directory_state::on_listed(time_point now, listed_instance const& line, actions& out)
{
    backend_id const id(line.id);
    auto const [found, is_new] = backends_.try_emplace(id);
    known_backend& known = found->second;
    known.listed = true;
    backend_status& status = known.status;
    if (is_new)
    {
        status.id = id;
        status.incarnation = line.incarnation;
    }
    // A line about an earlier incarnation says nothing about this one.
    if (line.incarnation < status.incarnation)
        return;
    note_incarnation(known, line.incarnation, out);
    status.pool = pool_id(line.service);
    status.kind = line.kind == "runner" ? backend_kind::runner : backend_kind::plain;
    status.address = line.address;
    status.failure_domain = line.failure_domain;
    if (line.leaving)
        note_leaving(now, id, line.incarnation, out);
    else
        apply_leaving(status, out);
}

void directory_state::drop_unlisted(std::set<backend_id> const& listed, actions& out)
{
    for (auto item = backends_.begin(); item != backends_.end();)
    {
        auto& known = item->second;
        known.listed = listed.contains(item->first);
        if (known.listed || known.status.reachable)
        {
            ++item;
            continue;
        }
        out.emplace_back(log_record{113, item->first.str(), "unlisted and unreachable"});
        item = backends_.erase(item);
    }
}

void directory_state::on_report(time_point now, backend_report const& report,
                                actions& out)
{
    auto const found = backends_.find(report.backend);
    if (found == backends_.end() || report.incarnation < found->second.status.incarnation)
        return;
    note_incarnation(found->second, report.incarnation, out);
    backend_status& status = found->second.status;
    status.reachable = true;
    apply_leaving(status, out);
    if (status.report && report.sequence <= status.report->sequence)
        return;
    status.report = report;
    status.reported_at = now;
}

void directory_state::on_unreachable(backend_id const& id, actions& out)
{
    auto const found = backends_.find(id);
    if (found == backends_.end())
        return;
    backend_status& status = found->second.status;
    if (status.reachable)
        raise_crash(status, "unreachable", out);
    status.reachable = false;
    if (!found->second.listed)
    {
        out.emplace_back(log_record{113, id.str(), "unlisted and unreachable"});
        backends_.erase(found);
    }
}

void directory_state::on_incarnation(backend_id const& id, incarnation_number incarnation,
                                     actions& out)
{
    auto const found = backends_.find(id);
    if (found == backends_.end())
        return;
    note_incarnation(found->second, incarnation, out);
    apply_leaving(found->second.status, out);
}

/// Notes proof that the backend server runs at the incarnation. A higher one means that
/// the process before it ended.
void directory_state::note_incarnation(known_backend& known,
                                       incarnation_number incarnation, actions& out)
{
    backend_status& status = known.status;
    if (incarnation <= status.incarnation)
        return;
    // 0 means that the incarnation was not known yet.
    if (status.incarnation != 0 && status.reachable)
        raise_crash(status, "new incarnation " + std::to_string(incarnation), out);
    status.incarnation = incarnation;
    status.reachable = true;
    status.leaving = false;
    status.report.reset();
}

void directory_state::on_peer(time_point now, peer_message const& message, actions& out)
{
    auto const* const received = std::get_if<gossip>(&message);
    if (received == nullptr)
        return;
    for (auto const& [id, incarnation] : received->leaving)
        note_leaving(now, id, incarnation, out);
}

void directory_state::note_leaving(time_point now, backend_id const& id,
                                   incarnation_number incarnation, actions& out)
{
    auto const [found, is_new] = leaving_.try_emplace(id, leaving_note{incarnation, now});
    if (!is_new && incarnation > found->second.incarnation)
        found->second = {incarnation, now};
    if (auto const known = backends_.find(id); known != backends_.end())
        apply_leaving(known->second.status, out);
}

void directory_state::apply_leaving(backend_status& status, actions& out) const
{
    auto const found = leaving_.find(status.id);
    if (status.leaving || found == leaving_.end() ||
        found->second.incarnation < status.incarnation)
        return;
    status.leaving = true;
    out.emplace_back(log_record{112, status.id.str(),
                                "incarnation " + std::to_string(status.incarnation)});
}

void directory_state::raise_crash(backend_status const& status, std::string const& reason,
                                  actions& out)
{
    out.emplace_back(log_record{111, status.id.str(), reason});
    out.emplace_back(raise_event{backend_crashed{status.id}});
}

std::string directory_state::dump(time_point now) const
{
    namespace json = boost::json;
    json::array backends;
    for (auto const& [id, known] : backends_)
    {
        auto const& status = known.status;
        json::object entry{{"id", id.str()},
                           {"pool", status.pool.str()},
                           {"incarnation", status.incarnation},
                           {"listed", known.listed},
                           {"leaving", status.leaving},
                           {"reachable", status.reachable}};
        if (status.report)
            entry["report_ms_ago"] =
                std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                      status.reported_at)
                    .count();
        backends.push_back(std::move(entry));
    }
    return json::serialize(json::object{{"backends", std::move(backends)}});
}

} // namespace

std::unique_ptr<backend_directory> backend_directory::create()
{
    return std::make_unique<directory_state>();
}

} // namespace carawayturn
