#pragma once

#include "coordination/component.hpp"
#include "coordination/serving_authority.hpp"
#include "state/request.hpp"

#include <memory>
#include <vector>

namespace carawayturn
{

enum class suspicion
{
    none,
    /// In flight at one crash: runs alone on a quarantine runner.
    suspect,
    /// Crashed a backend server while it ran alone: refused everywhere.
    poisonous
};

/// Tracks requests whose backend server crashed while they were in flight. Signatures
/// that reach two crashes are written to the table service and spread by gossip.
class poison_ledger : public component
{
public:
    [[nodiscard]] static std::unique_ptr<poison_ledger>
    create(instance_identity identity, serving_authority const& authority);

    /// The signature of a request: SHA-256 over organisation, model and body digest.
    [[nodiscard]] static digest signature(organisation_id const& organisation,
                                          caller_request const& request);

    [[nodiscard]] virtual suspicion classify(digest const& signature) const = 0;

    /// A backend server crashed while the request was in flight there, alone or with
    /// others.
    virtual void note_crash(time_point now, digest const& signature, bool ran_alone,
                            actions& out) = 0;

    /// A suspect finished without a crash.
    virtual void note_success(time_point now, digest const& signature, actions& out) = 0;

    /// A few poisonous signatures for the next gossip, in rotation.
    virtual std::vector<digest> next_for_gossip(std::size_t count) = 0;
};

} // namespace carawayturn
