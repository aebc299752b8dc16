#include "coordination/placement_world.hpp"

namespace carawayturn
{
namespace
{

/// Random faults of table, engines, instances and peers, with a fixed seed. Engines that
/// overcommit their memory, decisions that are not durable and adapters without a model
/// fail the test, and after the faults every model has to become available.
class placement_fault_test : public placement_world,
                             public testing::WithParamInterface<int>
{
protected:
    placement_fault_test() : random_(static_cast<std::uint64_t>(GetParam()))
    {
        limits_.keep_alive_initial = 30s;
        pool().load_slots = 4;
        for (int index = 0; index < 8; ++index)
            add_model("m" + std::to_string(index), 25 + index, 2);
        for (int index = 0; index < 4; ++index)
            add_adapter("l" + std::to_string(index), "m" + std::to_string(index), 3);
        for (int index = 0; index < 4; ++index)
        {
            auto& engine = add_engine("r" + std::to_string(index), 70);
            engine.checks_fence = GetParam() % 2 == 0;
            engine.refuses_memory = GetParam() % 3 == 0;
        }
        for (auto const* const id : {"a", "b", "c", "d"})
            add_instance(id);
    }

    int pick(int count) { return static_cast<int>(random_() % std::uint64_t(count)); }

    fake_engine& some_engine() { return engines_.at("r" + std::to_string(pick(4))); }

    std::vector<instance*> running()
    {
        std::vector<instance*> found;
        for (auto& [id, one] : instances_)
        {
            if (!one.paused)
                found.push_back(&one);
        }
        return found;
    }

    void change_demand()
    {
        auto const candidates = running();
        auto& one =
            *candidates.at(static_cast<std::size_t>(pick(int(candidates.size()))));
        auto const index = pick(8);
        auto const adapter =
            index < 4 && pick(2) == 0 ? "l" + std::to_string(index) : std::string();
        wait_for(one, "m" + std::to_string(index), adapter,
                 static_cast<std::uint32_t>(pick(12)));
    }

    void fault()
    {
        using engine_fault = fake_engine::fault;
        static constexpr std::array engine_modes{engine_fault::none, engine_fault::down,
                                                 engine_fault::answer_lost,
                                                 engine_fault::delayed};
        static constexpr std::array table_modes{
            fake_table::fault::none, fake_table::fault::down,
            fake_table::fault::answer_lost, fake_table::fault::delayed};
        switch (pick(8))
        {
        case 0:
            some_engine().mode = engine_modes.at(static_cast<std::size_t>(pick(4)));
            break;
        case 1:
            some_engine().arrive_late();
            break;
        case 2:
            some_engine().restart();
            break;
        case 3:
            table_.mode = table_modes.at(static_cast<std::size_t>(pick(4)));
            break;
        case 4:
            table_.arrive_late();
            break;
        case 5:
            peers_cut_ = pick(2) == 0;
            break;
        case 6:
            if (running().size() > 2 && pick(4) == 0)
                stop(*running().front());
            break;
        default:
            report_lag_ = std::chrono::milliseconds(50 + pick(1500));
        }
    }

    void heal()
    {
        table_.mode = fake_table::fault::none;
        table_.arrive_late();
        peers_cut_ = false;
        report_lag_ = 100ms;
        for (auto& [id, engine] : engines_)
        {
            engine.mode = fake_engine::fault::none;
            engine.arrive_late();
        }
    }

    void expect_safe() const
    {
        for (auto const& [id, engine] : engines_)
        {
            EXPECT_FALSE(engine.overcommitted) << id;
            EXPECT_FALSE(engine.adapter_without_model) << id;
        }
    }

    std::mt19937_64 random_;
};

TEST_P(placement_fault_test, memory_is_never_overcommitted_and_service_returns)
{
    run(1s);
    for (int step = 0; step < 300; ++step)
    {
        change_demand();
        if (pick(3) == 0)
            fault();
        run(std::chrono::milliseconds(25 * (1 + pick(40))));
        expect_safe();
        if (HasFailure())
            FAIL() << "step " << step;
    }
    heal();
    // New incarnations end all pins.
    for (auto& [id, engine] : engines_)
        engine.restart();
    for (auto* const one : running())
    {
        for (int index = 0; index < 8; ++index)
        {
            wait_for(*one, "m" + std::to_string(index), "", 0);
            if (index < 4)
                wait_for(*one, "m" + std::to_string(index), "l" + std::to_string(index),
                         0);
        }
    }
    run(15s);
    for (int index = 0; index < 8; ++index)
        EXPECT_TRUE(load(*running().front(), "m" + std::to_string(index), "", 90s))
            << index;
    expect_safe();
}

INSTANTIATE_TEST_SUITE_P(seeds, placement_fault_test, testing::Range(1, 25));

} // namespace
} // namespace carawayturn
