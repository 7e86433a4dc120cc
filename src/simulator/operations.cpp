#include "simulator/faults.hpp"

/// The operations whose every step can be struck.
namespace tulip::simulator {

const FaultTable& operations() {
  static const FaultTable all{
      {"gang",
       [](World& world) {
         world.submitThen(LineLoad{"rebuild", 1, 4, 4, 2, 4, 200, 500, 1.0, 0.5, 0}, [](const std::string&) {});
       }},
      {"cancel",
       [](World& world) {
         world.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 1500, 2500, 0, 0.5, 0}, [&world](const std::string& id) {
           world.sim.after(100000, [&world, id] { world.cancel(id); });
         });
       }},
      {"failing",
       [](World& world) {
         world.newJob(LineLoad{"gate", 1, 2, 2, 1, 1, 50, 100, 0.5, 0, 0}, true);
       }},
      {"configuration",
       [](World& world) {
         world.conditionalOnce(true);
         world.conditionalOnce(false);
         world.setZone("b", true, {});
         world.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 200, 500, 0, 0.5, 0}, [](const std::string&) {});
       }},
      {"takeover",
       [](World& world) {
         world.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 500, 3500, 0.5, 0.5, 0}, [&world](const std::string&) {
           if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
         });
       }},
      {"preemption",
       [](World& world) {
         for (int i = 0; i < 3; ++i) world.newJob(LineLoad{"rebuild", 1, 4, 4, 8, 8, 5500, 6000, 0, 0, 0});
         world.sim.after(3 * kSecond / 2, [&world] {
           for (int i = 0; i < 6; ++i) world.newJob(LineLoad{"checkout", 1, 2, 2, 4, 4, 100, 300, 1.0, 0, 0});
         });
       }},
      {"cohort-change",
       [](World& world) {
         world.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 500, 900, 0, 0.5, 0}, [](const std::string&) {});
         world.replaceReplica(world.pick(Role::replica), false);
         world.sim.after(11 * kSecond / 2, [&world] {
           world.sim.points.clear();
           for (int i = 0; i < 12; ++i) world.sim.after(Micros{150000} * i, [&world] { world.markOnce(false); });
         });
       }},
  };
  return all;
}

}  // namespace tulip::simulator
