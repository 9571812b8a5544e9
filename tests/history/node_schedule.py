"""Seeded schedules of faults for run_node.py. The same arguments always give the same schedule."""

import random

WARM_UP_S = 8.0
# For so long a worker goes on at least after the store knows that it drains.
DRAIN_MS = 3_000
LONGEST_DELAY_MS = 12_000
# Pieces of data that pass a link between instances and workers, peers or callers are held for so long, each way.
PATH_DELAY = {"delay_ms": 20, "delay_spread_ms": 60}
# All connections of a broken link are reset again and again, after such gaps.
RESETS = {"least_reset_gap_ms": 100, "most_reset_gap_ms": 400}
RESETS_S = 8.0
CALM_S = 1.0
GROUPS_S = 10.0
# The store and peers answer so late that copies of a submission are under way together.
LATE_PATH = {"delay_ms": 50, "delay_spread_ms": 250}
# The usual time from the end of a sequence to its next beginning.
USUAL_GAP_S = (6.0, 8.0)


class Schedule:
    """A list of (time in seconds, action, arguments), in the order of time."""

    def __init__(self, seed, seconds, instances, workers, sequence=None, answer_faults=True):
        """Plays faults of all kinds, or only the named sequence again and again. Without a sequence, the faults of
        answers and the repeated calls can be left out; all others stay as they are."""
        self.random = random.Random(seed)
        self.seconds = seconds
        self.instances = instances
        self.workers = workers
        self.events = []
        self.outages = []
        if sequence is None:
            self.add_store_faults()
            self.add_process_faults()
            self.add_link_faults()
            self.add_worker_faults()
            self.add_owner_faults()
            self.add_drains()
            self.add_configurations()
            self.add_late_orders()
            self.add_revocations()
            self.add_resets()
            if answer_faults:
                self.add_answer_faults()
        else:
            self.repeat(SEQUENCES[sequence], *GAPS_S.get(sequence, USUAL_GAP_S))
        self.events.sort(key=lambda event: event[0])

    def add(self, at, action, **arguments):
        # All faults are over at the end of the schedule.
        if at < self.seconds:
            self.events.append((round(at, 3), action, arguments))

    def times(self, mean_gap):
        """Returns random times between the warm-up and the end, so far apart on average."""
        times = []
        at = WARM_UP_S + self.random.expovariate(1 / mean_gap)
        while at < self.seconds:
            times.append(at)
            at += self.random.expovariate(1 / mean_gap)
        return times

    def repeat(self, sequence, least_gap_s, most_gap_s):
        """Adds the sequence from the warm-up to the end, with gaps between. It takes the time at which it begins and
        returns its end."""
        at = WARM_UP_S
        while at < self.seconds:
            at = sequence(self, at) + self.random.uniform(least_gap_s, most_gap_s)

    def add_store_faults(self):
        """Alternates series of outages, which expire all leases, with milder faults."""
        at = WARM_UP_S + self.random.uniform(0, 3)
        while at < self.seconds - 4:
            if self.random.random() < 0.75:
                at = self.add_outages(at)
            else:
                fault = self.random.choice([{"delay_ms": 60}, {"lose_answers": 0.3}, {"refuse": 0.4},
                                            {"drop_history": True}, {"silent": True, "leases_expire": False}])
                self.add(at, "store", **fault)
                at += self.random.uniform(1, 5)
                self.add(at, "store")
            at += self.random.uniform(1, 6)

    def add_outages(self, at):
        """The store is silent, back for a second or two, and silent again, several times."""
        late = self.random.choice([0.0, 0.0, 0.3])
        begin = at
        for number in range(self.random.randint(2, 4)):
            longest = min(60.0, self.seconds / 4) if number == 0 and self.random.random() < 0.25 else 7.5
            self.add(at, "store", silent=True, carry_out_late=late)
            self.outages.append(at)
            at += self.random.uniform(3.0, max(3.0, longest))
            self.add(at, "store", expire_leases=True)
            at += self.random.uniform(0.8, 3.0)
        if self.random.random() < 0.6:
            self.add_restarts_in_turn(begin, at)
        return at

    def add_restarts_in_turn(self, begin, end):
        """Restarts one instance after the other."""
        gap_s = self.random.uniform(8.0, 20.0) / self.instances
        action = self.random.choice(["terminate", "kill"])
        instance = self.random.randrange(self.instances)
        at = begin + gap_s
        while at < end:
            self.add(at, action, instance=instance, restart_after_s=self.random.uniform(0.1, 0.6))
            instance = (instance + 1) % self.instances
            at += gap_s

    def add_process_faults(self):
        for at in self.times(max(0.5, 32.0 / self.instances)):
            instance = self.random.randrange(self.instances)
            kind = self.random.random()
            if kind < 0.4:
                self.add(at, "terminate", instance=instance, restart_after_s=self.random.uniform(0.1, 1.0))
            elif kind < 0.7:
                self.add(at, "kill", instance=instance, restart_after_s=self.random.uniform(0.1, 3.0))
            else:
                self.add(at, "pause", instance=instance)
                self.add(at + self.random.choice([0.3, 1.5, 4.0, 9.0]), "resume", instance=instance)

    def add_link_faults(self):
        for at in self.times(max(0.5, 40.0 / self.instances)):
            link = self.random.randrange(self.instances)
            fault = self.random.choice([{"delay_ms": self.random.choice([50, 300, 1200])}, {"requests_cut": True},
                                        {"answers_cut": True}, {"reset": True}, {"silence_every": 2},
                                        {"silence_every": 1}, {"requests_cut": True, "answers_cut": True}])
            self.add(at, "link", link=link, **fault)
            self.add(at + self.random.uniform(0.5, 5.0), "link", link=link)

    def add_worker_faults(self):
        for at in self.times(6.0):
            share = self.random.choice([0.05, 0.2, 0.5])
            workers = sorted(self.random.sample(range(self.workers), max(1, int(self.workers * share))))
            fault = self.random.choice([{"lose_answers": 0.3}, {"carry_out_late": 0.3}, {"refuse": 0.5},
                                        {"silent": True}, {"report_late": 0.3},
                                        {"silent": True, "downtime_ms": 500},
                                        {"lose_answers": 0.2, "carry_out_late": 0.2},
                                        {"downtime_ms": self.random.choice([500, 4000]),
                                         "new_name": self.random.random() < 0.5}])
            if "downtime_ms" in fault:
                workers = workers[:max(1, self.workers // 25)]
            self.add(at, "workers", workers=workers, **fault)
            self.add(at + self.random.uniform(1, 6), "workers", workers=workers)

    def add_owner_faults(self):
        """Takes the store leases of single instances away, cuts owners off from workers, and starves instances."""
        for at in self.times(max(0.5, 60.0 / self.instances)):
            self.add(at, "drop_lease", instance=self.random.randrange(self.instances))
        for at in self.times(5.0):
            share = self.random.choice([0.05, 0.2])
            workers = sorted(self.random.sample(range(self.workers), max(1, int(self.workers * share))))
            fault = self.random.choice([{"owner_requests_cut": True}, {"owner_answers_cut": True}])
            self.add(at, "workers", workers=workers, **fault)
            self.add(at + self.random.uniform(2, 9), "workers", workers=workers)
        for at in self.times(max(0.5, 60.0 / self.instances)):
            self.add(at, "starve", instance=self.random.randrange(self.instances),
                     for_s=self.random.uniform(1.0, 8.0), share=self.random.choice([0.1, 0.25]),
                     period_s=self.random.choice([0.2, 0.2, 1.5]))
        for at in self.times(25.0):
            self.add_cut_majority(at)

        for at in self.times(9.0):
            self.add_replaced_owner(at)

    def add_drains(self):
        """Drains groups of workers one after the other, some of them shortly before an outage of the store, while they
        carry orders out late or instances are deprived of their lease or restarted."""
        times = self.times(9.0)
        if self.outages:
            times.append(self.random.choice(self.outages) - self.random.uniform(0.0, 4.0))
        for at in times:
            for _ in range(self.random.randint(1, 3)):
                share = self.random.choice([0.04, 0.1, 0.2])
                workers = sorted(self.random.sample(range(self.workers), max(1, int(self.workers * share))))
                late = self.random.choice([0.0, 0.0, 0.3])
                self.add(at, "workers", workers=workers, carry_out_late=late, report_late=late,
                         drain_ms=self.random.choice([2000, DRAIN_MS + 100, DRAIN_MS + 1000, DRAIN_MS + 5000]),
                         downtime_ms=self.random.choice([500, 3000]))
                if late:
                    self.add(at + self.random.uniform(1, 6), "workers", workers=workers)
                at += self.random.uniform(0.5, 3.0)
            kind = self.random.random()
            if kind < 0.4:
                self.add(at, "drop_lease", instance=self.random.randrange(self.instances))
            elif kind < 0.6:
                self.add(at, "kill", instance=self.random.randrange(self.instances), restart_after_s=0.3)

    def add_late_orders(self):
        """Most orders or reports of some workers get no answer and are carried out seconds later, all of them before
        the end of the schedule."""
        for at in self.times(10.0):
            workers = sorted(self.random.sample(range(self.workers), max(1, self.workers // 5)))
            share, kind = self.random.choice([0.3, 0.6]), self.random.choice(["carry_out_late", "report_late"])
            for_s = self.random.uniform(2, 6)
            if at + for_s + LONGEST_DELAY_MS / 1000 < self.seconds:
                self.add(at, "workers", workers=workers, longest_delay_ms=LONGEST_DELAY_MS, **{kind: share})
                self.add(at + for_s, "workers", workers=workers)

    def add_revocations(self):
        """Takes the leases of instances away shortly before the store is silent, while half of all may not answer."""
        for outage in self.outages:
            if self.random.random() < 0.5:
                for instance in self.random.sample(range(self.instances), max(1, self.instances // 4)):
                    self.add(outage - self.random.uniform(0.0, 3.0), "drop_lease", instance=instance)
            if self.random.random() < 0.25:
                for instance in self.random.sample(range(self.instances), self.instances // 2):
                    self.add(outage - self.random.uniform(0.0, 0.5), "pause", instance=instance)
                    self.add(outage + self.random.uniform(1.0, 4.0), "resume", instance=instance)

    def add_configurations(self):
        """Adds a route, drops it and adds it again, and changes the settings of instances."""
        with_temporary = True
        for at in [WARM_UP_S / 2] + self.times(10.0):
            self.add(at, "configure", with_temporary=with_temporary)
            with_temporary = not with_temporary
        for at in self.times(max(0.5, 60.0 / self.instances)):
            self.add(at, "hang_up", instance=self.random.randrange(self.instances),
                     grace_s=self.random.choice([5.0, 6.0]))

    def add_replaced_owner(self, at):
        """Replaces an owner that does not learn of it while its leases on some workers run out. It reaches the workers
        that its successor can't reach, and not those that the successor reaches."""
        instance = self.random.randrange(self.instances)
        workers = self.random.sample(range(self.workers), self.workers)
        lost, kept = sorted(workers[:self.workers // 3]), sorted(workers[self.workers // 3:])
        self.add(at, "workers", workers=lost, owner_requests_cut=True)
        replaced = at + self.random.uniform(4.0, 5.5)
        self.add(replaced, "workers", workers=kept, successors_cut=True)
        self.add(replaced, "link", link=instance, requests_cut=True, answers_cut=True)
        self.add(replaced, "drop_lease", instance=instance)
        for group in (lost, kept):
            self.add(replaced + 4.0, "workers", workers=group)
        self.add(replaced + 4.0, "link", link=instance)

    def add_cut_majority(self, at):
        """Cuts most instances off from the store while the others, which reach it, answer their peers late and don't
        reach some workers."""
        count = self.random.randint(self.instances // 2, self.instances - 1)
        cut = set(self.random.sample(range(self.instances), count))
        for_s = self.random.uniform(4.0, 14.0)
        workers = sorted(self.random.sample(range(self.workers), max(1, self.workers // 5)))
        self.add(at, "workers", workers=workers, successors_cut=True)
        self.add(at + for_s + 4, "workers", workers=workers)
        for instance in range(self.instances):
            if instance in cut:
                self.add(at, "link", link=instance, requests_cut=True, answers_cut=True)
                self.add(at + for_s, "link", link=instance)
            else:
                self.add(at, "starve", instance=instance, for_s=for_s, share=0.25, period_s=1.5)

    def add_owners_replaced_before_an_outage(self, at):
        """Replaces several owners that do not learn of it, and silences the store for all while they still rely on
        their leases. Each worker is reached by the replaced owner alone or by its successor alone."""
        replaced = self.random.sample(range(self.instances), max(1, self.instances // 3))
        workers = self.random.sample(range(self.workers), self.workers)
        lost, kept = sorted(workers[:self.workers // 2]), sorted(workers[self.workers // 2:])
        self.add(at, "workers", workers=lost, owner_requests_cut=True)
        self.add(at, "workers", workers=kept, successors_cut=True)
        for instance in replaced:
            self.add(at, "link", link=instance, requests_cut=True, answers_cut=True)
            self.add(at, "drop_lease", instance=instance)
        at += self.random.uniform(0.2, 2.5)
        self.add(at, "store", silent=True, leases_expire=self.random.random() < 0.3)
        at += self.random.uniform(10.0, 14.0)
        self.add(at, "store")
        for instance in replaced:
            self.add(at, "link", link=instance)
        at += 4.0
        for group in (lost, kept):
            self.add(at, "workers", workers=group)
        return at

    def far_instances(self):
        """Returns the instances of the second region. Their data centres and those of the first alternate."""
        return list(range(1, self.instances, 2))

    def add_congested_region(self, at):
        """Congests the path from the second region, or from both, to the store. Many calls time out, some of them after
        they were carried out, and now and then the leases of several instances end at once."""
        everyone = list(range(self.instances))
        congested = self.random.choice([self.far_instances(), everyone, everyone])
        end = at + self.random.uniform(10.0, 30.0)
        self.add_late_reports(at, end)
        self.add_drained_workers(at + self.random.uniform(0.0, 5.0))
        while at < end:
            # Calls time out after 900 ms and pass the link twice. Store leases last for 3 s.
            delay_ms, spread_ms, for_s = self.random.choice([(0, 60, 4.0), (50, 150, 3.0), (100, 300, 3.0),
                                                             (150, 400, 2.0), (400, 600, 1.5), (900, 2500, 3.0)])
            for instance in congested:
                self.add(at, "link", link=instance, delay_ms=delay_ms, delay_spread_ms=spread_ms)
            for _ in range(self.random.choice([0, 1, 2])):
                count = self.random.choice([(len(congested) + 1) // 2, len(congested)])
                for instance in self.random.sample(congested, count):
                    self.add(at + self.random.uniform(0.0, 0.3), "drop_lease", instance=instance)
                at += self.random.uniform(0.5, 1.0)
            at += self.random.uniform(0.5, for_s)
        for instance in congested:
            self.add(end, "link", link=instance)
        return end

    def add_late_reports(self, at, end):
        """Lets a fifth of the workers answer many report requests late, so that a new owner hears them after others."""
        workers = sorted(self.random.sample(range(self.workers), max(1, self.workers // 5)))
        self.add(at, "workers", workers=workers, report_late=0.6, longest_delay_ms=2000)
        self.add(end, "workers", workers=workers)

    def add_drained_workers(self, at):
        """Drains a few workers one after the other."""
        for worker in self.random.sample(range(self.workers), max(1, self.workers // 20)):
            self.add(at, "workers", workers=[worker], drain_ms=DRAIN_MS + 1000, downtime_ms=500)
            at += 0.5

    def add_processes_beside_former(self, at):
        """Starts the next process of several instances while the former one is paused, resumes the former and kills it
        late."""
        for instance in self.random.sample(range(self.instances), max(1, self.instances // 3)):
            resume_s = self.random.choice([0.2, 1.0, 2.5, 6.0])
            self.add(at + self.random.uniform(0.0, 0.3), "start_beside", instance=instance, resume_after_s=resume_s,
                     kill_after_s=resume_s + self.random.choice([0.0, 0.5, 3.0]))
        self.add_late_reports(at, at + 9.0)
        return at + 9.0

    def add_all_instances_killed(self, at):
        """Kills all instances at once. They start again at the same time, short of processor time."""
        for instance in range(self.instances):
            self.add(at, "kill", instance=instance, restart_after_s=1.9)
            self.add(at + 1.8, "starve", instance=instance, for_s=self.random.uniform(4.0, 8.0),
                     share=self.random.choice([0.12, 0.25, 0.5]), period_s=0.2)
        self.add_late_reports(at, at + 10.0)
        self.add_drained_workers(at + self.random.uniform(0.0, 3.0))
        return at + 10.0

    def add_lagging_starts(self, at):
        """Workers check orders to start when they arrive and begin the runs later, while several instances lose their
        leases at once or are killed."""
        self.add(at, "workers", workers=list(range(self.workers)), start_lag_ms=80)
        for _ in range(3):
            at += self.random.uniform(2.0, 4.0)
            action = self.random.choice(["drop_lease", "kill"])
            for instance in self.random.sample(range(self.instances), max(1, self.instances // 2)):
                self.add(at, action, instance=instance, **({"restart_after_s": 0.1} if action == "kill" else {}))
        at += 6.0
        self.add(at, "workers", workers=list(range(self.workers)))
        return at

    def some(self, count, share):
        """Returns the numbers of a share of so many things, at least one."""
        return sorted(self.random.sample(range(count), max(1, int(count * share))))

    def add_resets(self):
        """Resets the connections of some links of one kind again and again."""
        for at in self.times(5.0):
            for_s = self.random.uniform(1.0, RESETS_S)
            delay = self.random.choice([{}, PATH_DELAY])
            kind = self.random.choice(["worker", "worker", "peer", "caller"])
            share = self.random.choice([0.05, 0.2, 0.5])
            if kind == "worker":
                workers = self.some(self.workers, share)
                self.add(at, "connections", kind=kind, links=workers, **delay, **RESETS)
                self.add(at + for_s, "connections", kind=kind, links=workers)
            else:
                instances = self.some(self.instances, share)
                self.add(at, "instance_connections", kind=kind, instances=instances, **delay, **RESETS)
                self.add(at + for_s, "instance_connections", kind=kind, instances=instances)

    def add_answer_faults(self):
        """Cuts answers of workers short, holds them until the workers have restarted, and repeats calls of callers
        while they are under way."""
        for at in self.times(6.0):
            workers = self.some(self.workers, self.random.choice([0.05, 0.2]))
            self.add(at, "connections", kind="worker", links=workers, partial_answers=self.random.choice([0.1, 0.5]))
            self.add(at + self.random.uniform(1.0, 5.0), "connections", kind="worker", links=workers)
        for at in self.times(6.0):
            self.add_held_answers(at, self.some(self.workers, 0.02))
        for at in self.times(8.0):
            self.add(at, "resubmissions", share=0.4)
            self.add(at + self.random.uniform(1.0, 5.0), "resubmissions", share=0.0)

    def add_delays(self, at):
        """Delays what passes between instances and workers, and nothing else."""
        self.add(at, "connections", kind="worker", links=list(range(self.workers)), **PATH_DELAY)
        return at + RESETS_S

    def add_connections_reset(self, at):
        """Half of the workers reject three calls in ten, and half of these lose their connections again and again."""
        self.add_delays(at)
        refusing = self.some(self.workers, 0.5)
        broken = sorted(self.random.sample(refusing, max(1, len(refusing) // 2)))
        self.add(at, "workers", workers=refusing, refuse=0.3)
        self.add(at, "connections", kind="worker", links=broken, **PATH_DELAY, **RESETS)
        end = at + RESETS_S
        self.add(end, "workers", workers=refusing)
        self.add(end, "connections", kind="worker", links=broken, **PATH_DELAY)
        return end

    def add_all_connections_reset(self, at):
        """The same, while half of the instances lose the connections of their peers, their callers and their own to the
        store."""
        everyone = list(range(self.instances))
        for kind in ("peer", "caller"):
            broken = self.some(self.instances, 0.5)
            self.add(at, "instance_connections", kind=kind, instances=everyone, **PATH_DELAY)
            self.add(at, "instance_connections", kind=kind, instances=broken, **PATH_DELAY, **RESETS)
            self.add(at + RESETS_S, "instance_connections", kind=kind, instances=broken, **PATH_DELAY)
        for instance in self.some(self.instances, 0.5):
            self.add(at, "link", link=instance, **RESETS)
            self.add(at + RESETS_S, "link", link=instance)
        return self.add_connections_reset(at)

    def add_groups(self, at, shares, add_fault):
        """Adds faults of overlapping groups of workers, which are over 0.3 to 4 s later, every 0.2 to 0.8 s."""
        end = at + GROUPS_S
        while at < end:
            add_fault(at, self.some(self.workers, self.random.choice(shares)), self.random.uniform(0.3, 4.0))
            at += self.random.uniform(0.2, 0.8)
        return end

    def add_refusals(self, at, end):
        """Six in ten workers reject three calls in ten."""
        refusing = self.some(self.workers, 0.6)
        self.add(at, "workers", workers=refusing, refuse=0.3)
        self.add(end, "workers", workers=refusing)

    def add_wire(self, at):
        """Most workers reject some calls, while connections to groups of workers are cut one way, reset or delayed, and
        now and then an instance is killed."""
        def add_fault(begin, workers, for_s):
            fault = self.random.choice([{"requests_cut": True}, {"answers_cut": True}, {**PATH_DELAY, **RESETS},
                                        {"delay_ms": 300, "delay_spread_ms": 1500}])
            self.add(begin, "connections", kind="worker", links=workers, **fault)
            self.add(begin + for_s, "connections", kind="worker", links=workers)
            if self.random.random() < 0.05:
                self.add(begin, "kill", instance=self.random.randrange(self.instances),
                         restart_after_s=self.random.uniform(0.1, 2.0))
        self.add_refusals(at, at + GROUPS_S)
        return self.add_groups(at, [0.1, 0.25], add_fault)

    def add_cut_answers(self, at):
        """Answers of groups of workers, and of some peers and of the store to some instances, end within their head or
        their body."""
        def add_fault(begin, workers, for_s):
            self.add(begin, "connections", kind="worker", links=workers, **self.random.choice([{}, PATH_DELAY]),
                     partial_answers=self.random.choice([0.1, 0.3, 0.7]))
            self.add(begin + for_s, "connections", kind="worker", links=workers)
        self.add_refusals(at, at + GROUPS_S)
        self.add_instance_faults(at, at + GROUPS_S, 0.25, partial_answers=0.05)
        return self.add_groups(at, [0.1, 0.25], add_fault)

    def add_instance_faults(self, at, end, share, **fault):
        """Gives some links of peers, and some links of instances to the store, a fault."""
        instances = self.some(self.instances, share)
        self.add(at, "instance_connections", kind="peer", instances=instances, **fault)
        self.add(end, "instance_connections", kind="peer", instances=instances)
        for instance in self.some(self.instances, share):
            self.add(at, "link", link=instance, **fault)
            self.add(end, "link", link=instance)

    def add_late_answers(self, at):
        """Holds the answers of groups of workers until the workers have restarted under their names."""
        # A task that loses its worker again and again is given up, so most workers stay.
        restarting = self.some(self.workers, 0.1)

        def add_fault(begin, _, __):
            self.add_held_answers(begin, sorted(self.random.sample(restarting, (len(restarting) + 2) // 3)))
        return self.add_groups(at, [0.0], add_fault)

    def add_held_answers(self, at, workers):
        # Orders wait 0.4 s for their answer, and report requests longer.
        held_s = self.random.choice([0.2, 0.3, 0.38, 1.0, 2.0])
        self.add(at, "connections", kind="worker", links=workers, answers_cut=True)
        self.add(at + self.random.uniform(0.3, 0.7) * held_s, "workers", workers=workers, downtime_ms=20)
        self.add(at + held_s, "connections", kind="worker", links=workers)
        self.add(at + held_s, "workers", workers=workers)

    def add_queued_calls(self, at):
        """Groups of workers take so long to answer that calls to them wait for a connection or are given up, while
        others are down, so that more tasks start on the rest."""
        down = self.some(self.workers, 0.5)
        self.add(at, "workers", workers=down, downtime_ms=int(GROUPS_S * 1000))

        def add_fault(begin, workers, for_s):
            delay_ms, spread_ms = self.random.choice([(100, 60), (150, 40), (180, 200), (400, 1200)])
            self.add(begin, "connections", kind="worker", links=workers, delay_ms=delay_ms, delay_spread_ms=spread_ms)
            self.add(begin + for_s, "connections", kind="worker", links=workers)
        return self.add_groups(at, [0.25, 0.5], add_fault)

    def add_resubmissions(self, at):
        """Most calls of callers are given up after they were sent and repeated at another instance while the first copy
        is under way. Paths to the store and to peers are late and may break. Some instances are killed or lose their
        leases."""
        end = at + GROUPS_S
        self.add(at, "resubmissions", share=0.6)
        self.add(end, "resubmissions", share=0.0)
        fault = self.random.choice([{}, RESETS, {"partial_answers": 0.3}])
        self.add_instance_faults(at, end, 0.7, **LATE_PATH, **fault)
        at += self.random.uniform(1.0, 4.0)
        while at < end:
            instance = self.random.randrange(self.instances)
            if self.random.random() < 0.5:
                self.add(at, "kill", instance=instance, restart_after_s=self.random.uniform(0.1, 2.0))
            else:
                self.add(at, "drop_lease", instance=instance)
            at += self.random.uniform(1.0, 4.0)
        return end


SEQUENCES = {"owners-replaced-before-an-outage": Schedule.add_owners_replaced_before_an_outage,
             "congested-region": Schedule.add_congested_region,
             "processes-beside-former": Schedule.add_processes_beside_former,
             "all-instances-killed": Schedule.add_all_instances_killed,
             "lagging-starts": Schedule.add_lagging_starts,
             "delays": Schedule.add_delays,
             "connections-reset": Schedule.add_connections_reset,
             "all-connections-reset": Schedule.add_all_connections_reset,
             "wire": Schedule.add_wire,
             "answers-cut": Schedule.add_cut_answers,
             "late-answers": Schedule.add_late_answers,
             "queued-calls": Schedule.add_queued_calls,
             "resubmissions": Schedule.add_resubmissions}
# The time from the end of a sequence to its next beginning, at least and at most, where it is not the usual one.
GAPS_S = {"delays": (0.0, 0.0), "connections-reset": (CALM_S, CALM_S), "all-connections-reset": (CALM_S, CALM_S),
          **dict.fromkeys(
              ["wire", "answers-cut", "late-answers", "queued-calls", "resubmissions"], (0.0, CALM_S))}
