#include "simulator/faults.hpp"

#include <algorithm>

namespace tulip::simulator {

const std::map<std::string, Fault>& faults() {
  static const std::map<std::string, Fault> all{
      {"leader-kill",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond + world.sim.below(3 * kSecond));
         });
       }},
      {"leader-freeze",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           if (auto* leader = world.sim.leader()) world.sim.freeze(*leader, kSecond / 2 + world.sim.below(5 * kSecond));
         });
       }},
      {"leader-kill-after-yes",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.submitThen(LineLoad{"checkout"}, [&world](const std::string&) {
               if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
               world.crashFor(world.pick(Role::replica), kSecond);
             });
           });
       }},
      {"leader-polite-stop",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           if (auto* leader = world.sim.leader()) {
             world.sim.stopPolitely(*leader);
             world.sim.after(2 * kSecond, [&world, leader] {
               if (!world.retired.contains(leader->name)) world.sim.start(*leader);
             });
           }
         });
       }},
      {"replica-kill",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           world.crashFor(world.pick(Role::replica), kSecond / 2 + world.sim.below(3 * kSecond));
         });
       }},
      {"replica-freeze",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           world.sim.freeze(world.pick(Role::replica), kSecond / 2 + world.sim.below(4 * kSecond));
         });
       }},
      {"replica-disk-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] { world.replaceReplica(world.pick(Role::replica), true); });
       }},
      {"replica-replaced-elsewhere",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] { world.replaceReplica(world.pick(Role::replica), false); });
       }},
      {"replicas-replaced-twice",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] { world.replaceReplica(world.pick(Role::replica), false); });
         world.sim.at(world.fromUs + 14 * kSecond, [&world] {
           world.whenWhole([&world] { world.replaceReplica(world.pick(Role::replica), false); });
         });
       }},
      {"scheduler-exchanged",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto& old = world.pick(Role::scheduler);
           world.sim.stopPolitely(old);
           world.sim.after(400000, [&world, &old] { world.sim.crash(old); });
           world.retire(old);
           world.sim.start(world.sim.addHost(Role::scheduler, old.name + "x", old.settings.zone.value));
         });
       }},
      {"agent-kill",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.crashFor(world.pick(Role::agent), kSecond / 4 + world.sim.below(4 * kSecond));
           });
       }},
      {"agent-freeze",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.freeze(world.pick(Role::agent), kSecond / 4 + world.sim.below(5 * kSecond));
           });
       }},
      {"worker-crash",
       [](World& world) {
         for (int i = 0; i < 4; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& hand = world.pickHand();
             world.sim.crashWorker(hand);
             world.sim.after(200000 + world.sim.below(2 * kSecond), [&world, &hand] { world.sim.startWorker(hand); });
           });
       }},
      {"worker-vanish",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto& hand = world.pickHand();
           world.sim.crashWorker(hand);
           world.sim.crash(*hand.agent);
           world.retire(*hand.agent);
           if (world.plan.fleet.selfStop) return;
           world.setFlag("workers", hand.worker.traits.name, "gone", true, {});
         });
       }},
      {"worker-slow",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] { world.pickHand().worker.traits.slowFactor = 8; });
       }},
      {"worker-fails",
       [](World& world) { world.sim.at(world.fromUs, [&world] { world.pickHand().worker.traits.failEvery = 1; }); }},
      {"worker-cut",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& hand = world.pickHand();
             hand.cut = true;
             world.sim.after(kSecond / 2 + world.sim.below(6 * kSecond), [&hand] { hand.cut = false; });
           });
       }},
      {"worker-freeze",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.freezeWorker(world.pickHand(), kSecond / 2 + world.sim.below(6 * kSecond));
           });
       }},
      {"worker-leaves",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& hand = world.pickHand();
             hand.worker.leaving = true;
             world.sim.after(3 * kSecond, [&world, &hand] {
               world.sim.crashWorker(hand);
               world.sim.startWorker(hand);
             });
           });
       }},
      {"cut-off-alone",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           world.sim.cutOff(world.anyHost());
           if (auto* leader = world.sim.leader(); leader && world.sim.chance(0.5)) world.sim.cutOff(*leader);
           world.sim.after(kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
         });
       }},
      {"one-way-cut",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto* leader = world.sim.leader();
           auto& one = leader ? *leader : world.anyHost();
           const bool outward = world.sim.chance(0.5);
           for (const auto& other : world.sim.all())
             if (other.get() != &one) outward ? world.sim.cut(one, *other) : world.sim.cut(*other, one);
           world.sim.after(kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
         });
       }},
      {"split",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& x : world.sim.all())
             for (const auto& y : world.sim.all())
               if ((x->settings.zone.value == "a") != (y->settings.zone.value == "a")) world.sim.cut(*x, *y);
           world.sim.after(kSecond + world.sim.below(6 * kSecond), [&world] { world.sim.heal(); });
         });
       }},
      {"cell-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           const auto zone = std::string(1, static_cast<char>('a' + world.sim.below(3)));
           for (const auto& host : world.sim.all())
             if (host->settings.zone.value == zone) world.sim.crash(*host);
           for (const auto& hand : world.sim.hands())
             if (hand->agent->settings.zone.value == zone) world.sim.crashWorker(*hand);
         });
       }},
      {"slow-disk",
       [](World& world) { world.sim.at(world.faultTime(), [&world] { world.pick(Role::replica).syncUs = 400000; }); }},
      {"disk-dies-replica-lives",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] {
           auto& old = world.pick(Role::replica);
           old.diskFails = true;
           world.deadDisks.insert(old.name);
           world.sim.start(world.sim.addHost(Role::replica, old.name + "x", old.settings.zone.value));
           world.sim.after(14 * kSecond, [&world, &old] {
             world.whenWhole([&world, &old] {
               for (auto* replica : world.sim.hosts(Role::replica)) {
                 if (replica == &old || replica->name == old.name + "x") continue;
                 world.retire(*replica);
                 return world.sim.crash(*replica);
               }
             });
           });
         });
       }},
      {"full-disk",
       [](World& world) { world.sim.at(world.faultTime(), [&world] { world.pick(Role::replica).diskFails = true; }); }},
      {"all-restart",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& host : world.sim.all()) world.crashFor(*host, 200000 + world.sim.below(kSecond));
           for (const auto& hand : world.sim.hands())
             if (world.sim.chance(0.5)) {
               auto& each = *hand;
               world.sim.crashWorker(each);
               world.sim.after(kSecond, [&world, &each] { world.sim.startWorker(each); });
             }
         });
       }},
      {"replicas-power-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (auto* replica : world.sim.hosts(Role::replica))
             world.crashFor(*replica, 100000 + world.sim.below(kSecond));
         });
       }},
      {"lossy-sea",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] {
           world.sim.plan.sea.drop = 0.05;
           world.sim.plan.sea.twice = 0.05;
           world.sim.plan.sea.late = 0.1;
         });
       }},
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
           world.sim.at(when + i * 50000, [&world] { world.markOnce(world.sim.chance(0.2)); });
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
           const auto name = world.pickHand().worker.traits.name;
           world.setDrain(name, true, [&world, name] {
             world.sim.after(4 * kSecond, [&world, name] { world.setDrain(name, false, {}); });
           });
         });
       }},
      {"crowd",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 120; ++i)
           world.sim.at(when + i * 2000, [&world] {
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
      {"all-replicas-emptied",
       [](World& world) {
         world.judge.stalls = false;
         world.sim.at(world.faultTime(), [&world] {
           for (auto* replica : world.sim.hosts(Role::replica)) world.replaceReplica(*replica, true);
         });
       }},
      {"two-replicas-emptied",
       [](World& world) {
         world.judge.stalls = false;
         world.sim.at(world.faultTime(), [&world] {
           auto replicas = world.sim.hosts(Role::replica);
           for (std::size_t i = 0; i < 2; ++i) world.replaceReplica(*replicas[i], true);
         });
       }},
      {"power-lost-after-yes",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             for (auto* replica : world.sim.hosts(Role::replica)) replica->syncUs = 15000;
             world.submitThen(LineLoad{"checkout"}, [&world](const std::string&) {
               for (auto* replica : world.sim.hosts(Role::replica))
                 world.crashFor(*replica, 100000 + world.sim.below(kSecond));
               if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
             });
           });
       }},
      {"leader-kill-after-cancel",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 4000, 6000, 0, 1.0, 0},
                              [&world](const std::string& id) {
                                world.cancel(id, [&world] {
                                  if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
                                });
                              });
           });
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
      {"replica-lags-then-emptied",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto* leader = world.sim.leader();
           if (!leader) return;
           auto replicas = world.sim.hosts(Role::replica);
           const auto first = static_cast<std::size_t>(world.sim.below(3));
           auto &lags = *replicas[first], &emptied = *replicas[(first + 1) % 3];
           world.sim.cut(*leader, lags);
           world.sim.cut(lags, *leader);
           world.sim.after(kSecond / 2 + world.sim.below(kSecond), [&world, leader, &emptied] {
             world.crashFor(*leader, 2 * kSecond);
             world.replaceReplica(emptied, true);
             world.sim.heal();
           });
         });
       }},
      {"agent-cut-from-replicas",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& agent = world.pick(Role::agent);
             for (auto* replica : world.sim.hosts(Role::replica)) {
               world.sim.cut(agent, *replica);
               world.sim.cut(*replica, agent);
             }
             world.sim.after(2 * kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
           });
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
      {"replicas-restart-behind-a-cut",
       [](World& world) {
         world.sim.at(world.fromUs + world.sim.below(kSecond), [&world] {
           auto replicas = world.sim.hosts(Role::replica);
           const auto alone = static_cast<std::size_t>(world.sim.below(3));
           world.sim.cutOff(*replicas[alone]);
           for (std::size_t i = 0; i < 3; ++i)
             if (i != alone) world.crashFor(*replicas[i], kSecond + world.sim.below(kSecond));
           world.sim.after(3 * kSecond + world.sim.below(2 * kSecond), [&world] {
             world.sim.heal();
             if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
           });
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
           world.sim.at(when + i * 40000, [&world] {
             world.submitThen(LineLoad{"checkout", 1, 1, 4, 1, 3, 500, 4000, 0.3, 0.3, 0},
                              [&world](const std::string& id) {
                                world.sim.after(world.sim.below(600000), [&world, id] { world.cancel(id); });
                              });
           });
       }},
      {"worker-machine-cut",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.cutOff(world.pick(Role::agent));
             world.sim.after(3 * kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
           });
       }},
      {"worker-taken",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] { world.takeSoon(world.pickHand(), 500 + world.sim.below(3000)); });
       }},
      {"worker-stands-still",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& hand = world.pickHand();
             hand.worker.traits.standsStill = true;
             world.sim.after(3 * kSecond + world.sim.below(5 * kSecond), [&world, &hand] {
               world.sim.trouble();
               hand.worker.traits.standsStill = false;
             });
           });
       }},
      {"workers-slow",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(),
                        [&world] { world.pickHand().worker.traits.slowFactor = 2 + 3 * world.sim.unit(); });
       }},
      {"worker-mute",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& hand = world.pickHand();
             hand.worker.traits.mute = true;
             world.sim.after(kSecond + world.sim.below(6 * kSecond), [&world, &hand] {
               world.sim.trouble();
               hand.worker.traits.mute = false;
             });
           });
       }},
      {"worker-fails-some",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.fromUs,
                        [&world] { world.pickHand().worker.traits.failShare = 0.2 + 0.6 * world.sim.unit(); });
       }},
      {"worker-gone",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] { world.sim.crashWorker(world.pickHand()); });
       }},
      {"workers-flap",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.fromUs, [&world] {
             auto& hand = world.pickHand();
             const auto flap = [&world, &hand](auto again) -> void {
               if (world.sim.nowUs() >= world.quietUs) return;
               if (hand.up)
                 world.sim.crashWorker(hand);
               else
                 world.sim.startWorker(hand);
               world.sim.after(kSecond / 2 + world.sim.below(3 * kSecond / 2), [again] { again(again); });
             };
             flap(flap);
           });
       }},
      {"burst-of-large",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 12; ++i)
           world.sim.at(when + i * 20000, [&world] { world.newJob(world.queueOf("rebuild")); });
       }},
      {"burst-of-urgent",
       [](World& world) {
         const auto when = world.faultTime();
         for (int i = 0; i < 60; ++i)
           world.sim.at(when + i * 10000, [&world] { world.newJob(world.queueOf("checkout")); });
       }},
      {"poison",
       [](World& world) {
         for (int i = 0; i < 20; ++i)
           world.sim.at(world.faultTime(), [&world] {
             static const char* const lines[] = {"checkout", "gate", "rebuild"};
             world.newJob(world.queueOf(lines[world.sim.below(3)]), true);
           });
       }},
      {"clock-steps",
       [](World& world) {
         world.judge.clockStepped = true;
         for (int i = 0; i < 6; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto* leader = world.sim.leader();
             auto& host = leader && world.sim.chance(0.4) ? *leader : world.anyHost();
             host.wallOffsetMs = world.sim.below(8000) - 4000;
             world.sim.trouble();
           });
       }},
      {"core-killed",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& host : world.sim.all())
             if (host->settings.role != Role::agent) world.crashFor(*host, 100000 + world.sim.below(9 * kSecond / 10));
         });
       }},
      {"all-power-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& host : world.sim.all()) world.crashFor(*host, kSecond / 2 + world.sim.below(2 * kSecond));
           for (const auto& hand : world.sim.hands()) {
             auto& each = *hand;
             world.sim.crashWorker(each);
             world.sim.after(kSecond / 2 + world.sim.below(2 * kSecond),
                             [&world, &each] { world.sim.startWorker(each); });
           }
         });
       }},
      {"core-machine-replaced",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto& replica = world.pick(Role::replica);
           for (auto* scheduler : world.sim.hosts(Role::scheduler)) {
             if (scheduler->settings.zone != replica.settings.zone || world.retired.contains(scheduler->name)) continue;
             world.sim.crash(*scheduler);
             world.retire(*scheduler);
             auto& fresh = world.sim.addHost(Role::scheduler, scheduler->name + "x", scheduler->settings.zone.value);
             world.sim.after(300000 + world.sim.below(kSecond), [&world, &fresh] { world.sim.start(fresh); });
             break;
           }
           world.replaceReplica(replica, false);
         });
       }},
      {"disk-stalls",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& replica = world.pick(Role::replica);
             replica.diskFails = true;
             world.sim.after(kSecond / 2 + world.sim.below(2 * kSecond), [&world, &replica] {
               world.sim.trouble();
               replica.diskFails = world.deadDisks.contains(replica.name);
             });
           });
       }},
      {"last-fault",
       [](World& world) {
         world.sim.at(world.endUs - 1000, [&world] {
           if (auto* leader = world.sim.leader()) {
             world.retire(*leader);
             world.sim.crash(*leader);
           }
           auto& replica = world.pick(Role::replica);
           world.retire(replica);
           world.sim.crash(replica);
         });
       }},
  };
  return all;
}

const std::map<std::string, Fault>& operations() {
  static const std::map<std::string, Fault> all{
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
           for (int i = 0; i < 12; ++i) world.sim.after(i * 150000, [&world] { world.markOnce(false); });
         });
       }},
  };
  return all;
}

void strike(World& world, Host& host) {
  world.result.placed = true;
  switch (world.plan.place->blow) {
    case Blow::crash:
      return world.crashFor(host, kSecond);
    case Blow::power:
      for (auto* replica : world.sim.hosts(Role::replica))
        if (replica != &host && !world.retired.contains(replica->name))
          world.crashFor(*replica, kSecond / 2 + world.sim.below(kSecond));
      return world.crashFor(host, kSecond);
    case Blow::disk:
      return world.replaceReplica(host, true);
    case Blow::freeze:
      return world.sim.freeze(host, 4 * kSecond);
    case Blow::cut:
      world.sim.cutOff(host);
      return world.sim.after(4 * kSecond, [&world] { world.sim.heal(); });
  }
}

std::vector<std::string> faultNames() {
  std::vector<std::string> names;
  for (const auto& [name, act] : faults()) names.push_back(name);
  return names;
}

std::vector<std::string> operationNames() {
  std::vector<std::string> names;
  for (const auto& [name, act] : operations()) names.push_back(name);
  return names;
}

DayPlan operationDay(const std::string& operation, std::uint64_t seed) {
  DayPlan plan;
  plan.seed = seed;
  plan.operation = operation;
  plan.load.clear();
  plan.seconds = operation == "cohort-change" ? 24 : 12;
  plan.fleet.sea.mostUs = 400;
  return plan;
}

std::vector<std::string> drawFaults(std::uint64_t seed) {
  static const std::set<std::string> takesAReplica{
      "replica-disk-lost", "replica-replaced-elsewhere", "replicas-replaced-twice", "last-fault",           "full-disk",
      "cell-lost",         "replica-lags-then-emptied",  "disk-dies-replica-lives", "core-machine-replaced"};
  auto names = faultNames();
  std::erase(names, "two-replicas-emptied");
  std::erase(names, "all-replicas-emptied");
  std::mt19937_64 random(seed * 7919);
  std::vector<std::string> drawn{names[random() % names.size()]};
  if (random() % 3 == 0) return drawn;
  auto second = names[random() % names.size()];
  while (takesAReplica.contains(drawn[0]) && takesAReplica.contains(second)) second = names[random() % names.size()];
  drawn.push_back(std::move(second));
  return drawn;
}

}  // namespace tulip::simulator
