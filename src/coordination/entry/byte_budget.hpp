#pragma once

#include <cstdint>

namespace carawayturn::entry
{

/// Limits the bytes that all requests of a process hold together. Handles the load
/// patterns "many callers send long bodies at once" and "many servers send long answers
/// at once", each within its own limit.
class byte_budget
{
public:
    explicit byte_budget(std::uint64_t capacity) : capacity_(capacity) {}

    /// Takes the bytes, or returns false if fewer are left.
    [[nodiscard]] bool take(std::uint64_t bytes);
    void release(std::uint64_t bytes) { taken_ -= bytes; }

    [[nodiscard]] std::uint64_t capacity() const { return capacity_; }
    [[nodiscard]] std::uint64_t taken() const { return taken_; }

private:
    std::uint64_t capacity_;
    std::uint64_t taken_ = 0;
};

/// The bytes that one request holds of a byte_budget; the destructor releases them.
class byte_reservation
{
public:
    /// The first `free_bytes` of what is held are not taken from the budget.
    explicit byte_reservation(byte_budget& budget, std::uint64_t free_bytes = 0)
        : budget_(budget), free_bytes_(free_bytes)
    {
    }
    byte_reservation(byte_reservation const&) = delete;
    byte_reservation& operator=(byte_reservation const&) = delete;
    ~byte_reservation() { budget_.release(taken_); }

    /// Grows the reservation to `bytes` in total. Returns false, leaving it unchanged, if
    /// the budget does not suffice.
    [[nodiscard]] bool grow_to(std::uint64_t bytes);
    /// Sets the reservation to `bytes` in total. Returns false, leaving it unchanged, if
    /// it would grow and the budget does not suffice.
    [[nodiscard]] bool resize(std::uint64_t bytes);
    /// Bytes taken from the budget.
    [[nodiscard]] std::uint64_t taken() const { return taken_; }

private:
    /// Returns how much of `bytes` is taken from the budget.
    [[nodiscard]] std::uint64_t charge_for(std::uint64_t bytes) const;

    byte_budget& budget_;
    std::uint64_t free_bytes_;
    std::uint64_t taken_ = 0;
};

} // namespace carawayturn::entry
