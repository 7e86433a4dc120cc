#include "simulator/faults.hpp"

/// Callers and operators.
namespace tulip::simulator {

namespace {

/// One operator's changes, each sent once the one before is answered.
void changeOneByOne(World& world) {
  if (world.sim.nowUs() >= world.quietUs) return;
  const auto mark = "mark-" + std::to_string(++world.nextMark);
  world.changeConfig("PATCH", "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}", mark, "t-" + mark, "",
                     [&world](bool) { changeOneByOne(world); });
}

/// Two operators pick the same number for different changes, again and again.
void raceForNumber(World& world) {
  if (world.sim.nowUs() >= world.quietUs) return;
  const auto number = world.newestNumber + 1;
  auto open = std::make_shared<int>(2);
  for (int i = 0; i < 2; ++i)
    world.changeByNumber(number, world.newestNumber, "mark-" + std::to_string(++world.nextMark), [&world, open] {
      if (--*open == 0) raceForNumber(world);
    });
}

}  // namespace

FaultTable callersFaults() {
  return {
      {"chart-race",
       [](World& world) {
         for (int i = 0; i < 4; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.markOnce(false);
             world.markOnce(true);
             world.markOnce(false);
           });
       }},
      {"chart-storm",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 40; ++i)
           world.sim.at(when + Micros{50000} * i, [&world] { world.markOnce(world.sim.chance(0.2)); });
       }},
      {"cell-emptied",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           const auto zone = std::string(1, static_cast<char>('a' + world.sim.below(3)));
           world.setZone(zone, true, [&world, zone] {
             world.sim.after(6 * kSecond, [&world, zone] { world.setZone(zone, false, {}); });
           });
         });
       }},
      {"worker-drained",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           const auto name = world.pickWorker().worker.traits.name;
           world.setDrain(name, true, [&world, name] {
             world.sim.after(4 * kSecond, [&world, name] { world.setDrain(name, false, {}); });
           });
         });
       }},
      {"crowd",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 120; ++i)
           world.sim.at(when + Micros{2000} * i, [&world] {
             const auto load = builtInLoad("leatherwood");
             world.newJob(load[static_cast<std::size_t>(world.sim.below(3))], world.sim.chance(0.1),
                          world.sim.chance(0.05));
           });
       }},
      {"never-succeed",
       [](World& world) {
         for (int i = 0; i < 8; ++i)
           world.sim.at(world.faultTime(), [&world] { world.newJob(LineLoad{"gate"}, true); });
       }},
      {"rule-swapped",
       [](World& world) {
         world.judge.stalls = false;
         const auto swap = [&world](auto again, int turn) -> void {
           static const char* const rules[] = {
               R"("rule":"fifo")", R"("rule":"gittins","lanes":3,"thresholdsMs":[2000,8000])",
               R"("rule":"las","lanes":2,"thresholdsMs":[4000])", R"("rule":"las","lanes":1,"thresholdsMs":[])"};
           if (world.sim.nowUs() >= world.quietUs) return;
           const auto mark = "mark-" + std::to_string(++world.nextMark);
           world.changeConfig("PATCH", "{\"pendings\":{\"" + mark + "\":{}},\"admission\":{" + rules[turn % 4] + "}}",
                              mark, "t-" + mark, "", {});
           world.sim.after(250000 + world.sim.below(kSecond / 2), [again, turn] { again(again, turn + 1); });
         };
         world.sim.at(world.fromUs, [swap] { swap(swap, 0); });
       }},
      {"resend-storm",
       [](World& world) {
         for (int i = 0; i < 30; ++i)
           world.sim.at(world.faultTime(), [&world] {
             const auto id = "again-" + std::to_string(++world.nextJob);
             auto body = world.makeJob(LineLoad{"checkout", 1, 1, 3, 1, 2, 50, 900, 0.3, 0.3, 0}, id, false, false);
             for (int k = 0; k < 4; ++k)
               world.sim.after(k == 0 ? 0 : world.sim.below(4 * kSecond),
                               [&world, id, body] { world.submit(id, body); });
           });
       }},
      {"far-off-jobs",
       [](World& world) {
         for (int i = 0; i < 40; ++i)
           world.sim.at(world.fromUs + world.sim.below(world.quietUs - world.fromUs), [&world] {
             auto sketch = sketchJob(LineLoad{"checkout", 1, 1, 2, 1, 1, 50, 300, 0, 0, 0},
                                     "far-" + std::to_string(++world.nextJob), [&world] { return world.sim.unit(); });
             sketch.notBeforeMs = 300 + world.sim.below(6000);
             const auto id = sketch.id;
             world.submit(id, world.enter(sketch));
           });
       }},
      {"long-gangs",
       [](World& world) {
         for (int i = 0; i < 5; ++i)
           world.sim.at(world.fromUs, [&world] {
             world.submitThen(LineLoad{"rebuild", 1, 3, 4, 2, 4, 15000, 19000, 1.0, 0, 0}, [](const std::string&) {});
           });
       }},
      {"cancel-storm",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 40; ++i)
           world.sim.at(when + Micros{40000} * i, [&world] {
             world.submitThen(LineLoad{"checkout", 1, 1, 4, 1, 3, 500, 4000, 0.3, 0.3, 0},
                              [&world](const std::string& id) {
                                world.sim.after(world.sim.below(600000), [&world, id] { world.cancel(id); });
                              });
           });
       }},
      {"burst-of-large",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 12; ++i)
           world.sim.at(when + Micros{20000} * i, [&world] { world.newJob(world.queueOf("rebuild")); });
       }},
      {"burst-of-urgent",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 60; ++i)
           world.sim.at(when + Micros{10000} * i, [&world] { world.newJob(world.queueOf("checkout")); });
       }},
      {"poison",
       [](World& world) {
         for (int i = 0; i < 20; ++i)
           world.sim.at(world.faultTime(), [&world] {
             static const char* const lines[] = {"checkout", "gate", "rebuild"};
             world.newJob(world.queueOf(lines[world.sim.below(3)]), true);
           });
       }},
      {"acks-lost",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] { world.ackLoss = 0.3; });
         world.sim.at(world.quietUs, [&world] { world.ackLoss = 0; });
       }},
      {"eight-orders",
       [](World& world) {
         for (int i = 0; i < 8; ++i) world.sim.at(world.fromUs, [&world] { changeOneByOne(world); });
       }},
      {"same-number-twice", [](World& world) { world.sim.at(world.fromUs, [&world] { raceForNumber(world); }); }},
      {"hundreds-of-changes",
       [](World& world) {
         world.endUs += 45 * kSecond;
         world.quietUs += 45 * kSecond;
         for (Micros at = world.fromUs; at < world.quietUs; at += kSecond / 6)
           world.sim.at(at, [&world] { world.markOnce(world.sim.chance(0.05)); });
       }},
  };
}

}  // namespace tulip::simulator
