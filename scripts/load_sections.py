"""Sections of scripts/losses on hard load: unreachable upstreams, speeds, copies, order of waiting calls, customers.

Each section takes the calls that scripts/losses collected; functions that print take the time of the first call too.
"""
import bisect
import collections
import itertools

QUANTILES = (0, .1, .25, .5, .75, .9, 1)
MOMENT_MS = 2_000
# Shorter streams say little about the time of a token, fewer calls little about an upstream.
MIN_EVENTS, MIN_CALLS = 8, 3
MAX_NAMES = 12


def quantiles(values):
    """Returns the QUANTILES of the values by nearest rank."""
    ordered = sorted(values)
    return [ordered[round(q * (len(ordered) - 1))] for q in QUANTILES] if ordered else []


def quantile_text(values, decimals=0):
    return " ".join(f"{value:.{decimals}f}" for value in quantiles(values)) or "-"


def median(values):
    return quantiles(values)[QUANTILES.index(.5)]


def moment(time_ms, first_ms):
    """Returns the second, counted from the first call, at which the time's MOMENT_MS begin."""
    return int((time_ms - first_ms) // MOMENT_MS * MOMENT_MS // 1000)


def counter_text(counter):
    return ", ".join(f"{name} {count}" for name, count in counter.most_common(MAX_NAMES)) or "none"


def by_moment_text(times, first_ms):
    counts = collections.Counter(moment(time, first_ms) for time in times)
    return ", ".join(f"{second} s {counts[second]}" for second in sorted(counts)) or "none"


def lines_of(calls, decision, why=None):
    return [(call, line) for call in calls for line in call.lines
            if line["decision"] == decision and why in (None, line.get("why"))]


# -- unreachable upstreams -------------------------------------------------------------------------


def unreachable_tries(calls):
    """Returns (call, line) of each try that ended at an upstream that could not be reached."""
    return lines_of(calls, "upstream passed over", "unreachable")


def print_unreachable(calls, first_ms):
    tries = unreachable_tries(calls)
    print(f"tries that ended at unreachable upstreams: {len(tries)}")
    print("  by moment: " + by_moment_text((line["time_ms"] for _, line in tries), first_ms))
    print("  by route: " + counter_text(collections.Counter(call.route for call, _ in tries)))
    print("  by failure: " + counter_text(collections.Counter(line.get("connection_failure") or "not stated" for _, line in tries)))
    at_upstream, at_pair = collections.Counter(), collections.Counter()
    for call, line in tries:
        at_upstream[line.get("upstream", "")] += 1
        at_pair[line.get("upstream", ""), call.node] += 1
    vms = collections.Counter(upstream for upstream, _ in at_pair)
    print(f"  tries by upstream, of {len(at_upstream)}: {quantile_text(at_upstream.values())}; "
          f"VMs that tried it: {quantile_text(vms.values())}; tries by VM and upstream: {quantile_text(at_pair.values())}")
    outcomes = collections.Counter(call.outcome for call in {id(call): call for call, _ in tries}.values())
    refused = {outcome: count for outcome, count in outcomes.items() if outcome.startswith("refused")}
    print(f"  calls with such tries: {outcomes.total()}, of these refused {sum(refused.values())}: "
          + counter_text(collections.Counter(refused)))


# -- speeds of upstreams ---------------------------------------------------------------------------


class Answer:
    """Speeds of a stream that one upstream answered at the first send; None where the lines don't tell."""

    def __init__(self, call, line, event_tokens):
        self.outcome, self.upstream = call.outcome, line["upstream"]
        self.first_event_ms = line["first_event_ms"] - line.get("sent_after_ms", 0)
        expected = line.get("expected_first_event_ms", 0)
        self.first_event_ratio = self.first_event_ms / expected if expected else None
        later_events = line.get("events", 0) - 1
        is_long = later_events + 1 >= MIN_EVENTS and "age_ms" in line
        self.token_ms = (line["age_ms"] - line["first_event_ms"]) / (later_events * event_tokens) if is_long else None


def answers_of(calls, event_tokens):
    """Returns the answers of streams that were sent once and not resumed: only their times are one upstream's."""
    return [Answer(call, line, event_tokens) for call, line in lines_of(calls, "answered")
            if "first_event_ms" in line and line.get("upstream") and call.resumptions() == 0
            and sum(1 for each in call.lines if each["decision"] == "sent") == 1]


def medians_by_upstream(answers, figure):
    """Returns the median of a figure for each upstream with at least MIN_CALLS of it."""
    values = collections.defaultdict(list)
    for answer in answers:
        if getattr(answer, figure) is not None:
            values[answer.upstream].append(getattr(answer, figure))
    return {upstream: median(each) for upstream, each in values.items() if len(each) >= MIN_CALLS}


def slowest_third(medians):
    """Returns the third of the upstreams with the largest medians."""
    ordered = sorted(medians, key=lambda upstream: (-medians[upstream], upstream))
    return set(ordered[:len(ordered) // 3])


def late_by_class(answers, slow, known):
    """Returns the outcomes of the answers by class of their upstream."""
    classes = {"slowest third": collections.Counter(), "the rest": collections.Counter()}
    for answer in answers:
        if answer.upstream in known:
            classes["slowest third" if answer.upstream in slow else "the rest"][answer.outcome] += 1
    return classes


def print_upstreams(calls, event_tokens):
    answers = answers_of(calls, event_tokens)
    print(f"speeds of upstreams, {len(answers)} streams sent once; medians by upstream, quantiles {' '.join(map(str, QUANTILES))} over upstreams")
    for title, figure, decimals in (("first event, actual by expected", "first_event_ratio", 2),
                                    ("first event, ms", "first_event_ms", 0), ("ms a token", "token_ms", 1)):
        medians = medians_by_upstream(answers, figure)
        print(f"  {title}, {len(medians)} upstreams: {quantile_text(medians.values(), decimals)}")
    token_ms = medians_by_upstream(answers, "token_ms")
    for name, outcomes in late_by_class(answers, slowest_third(token_ms), token_ms).items():
        late = sum(count for outcome, count in outcomes.items() if outcome.startswith("late"))
        print(f"  {name} by ms a token: {outcomes.total()} answers, late {late} "
              f"({100.0 * late / max(1, outcomes.total()):.1f}%): {counter_text(outcomes)}")


# -- copies ----------------------------------------------------------------------------------------


def copies(calls, which):
    """Returns [(call, moment of the order, destination, end)] of `first` or `last` copies; the end of a copy is
    `complete`, a refusal's reason, or `no answer`."""
    found = []
    for call in calls:
        for line in call.lines:
            if line["decision"] == f"{which} copy ordered":
                found.append([call, line["time_ms"], line.get("why", ""), "no answer"])
            elif line["decision"] in (f"{which} copy complete", f"{which} copy refused") and found and found[-1][0] is call:
                found[-1][3] = "complete" if line["decision"].endswith("complete") else f"refused: {line.get('why', '')}"
    return [tuple(each) for each in found]


def print_copies(calls, first_ms):
    for which in ("first", "last"):
        rows = copies(calls, which)
        refused = [row for row in rows if row[3].startswith("refused")]
        print(f"{which} copies ordered: {len(rows)}, of {len({id(row[0]) for row in rows})} calls")
        print("  ends: " + counter_text(collections.Counter(end for _, _, _, end in rows)))
        print("  ordered by moment: " + by_moment_text((at for _, at, _, _ in rows), first_ms))
        print("  refused by moment: " + by_moment_text((at for _, at, _, _ in refused), first_ms))
        ordered_at = collections.Counter(destination for _, _, destination, _ in rows)
        refused_at = collections.Counter(destination for _, _, destination, _ in refused)
        print(f"  by destination, of {len(ordered_at)}: ordered {quantile_text(ordered_at.values())}; "
              f"refused {quantile_text([refused_at[each] for each in ordered_at])}")
        lost = collections.Counter(call.outcome for call in {id(row[0]): row[0] for row in refused}.values())
        print("  outcomes of calls with a refused copy: " + counter_text(lost))


# -- order of waiting calls ------------------------------------------------------------------------


class Wait:
    """A call's first wait at a VM, until it was sent or ended."""

    def __init__(self, call, begins_at, ends_at, is_sent):
        self.call, self.begins_at, self.ends_at, self.is_sent = call, begins_at, ends_at, is_sent
        # Calls that came later and were sent during the wait: at the same VM, and at all VMs.
        self.overtaken_by, self.overtaken_anywhere_by = [], []

    def duration(self):
        return self.ends_at - self.begins_at


def first_time(lines, decision, since=0):
    return next((line["time_ms"] for line in lines if line["decision"] == decision and line["time_ms"] >= since), None)


def routes_with_common_upstreams(calls):
    """Returns the pairs of routes of which calls were sent to the same upstream, and so compete for room."""
    routes = collections.defaultdict(set)
    for call, line in lines_of(calls, "sent"):
        routes[line.get("upstream")].add(call.route)
    return {pair for each in routes.values() for pair in itertools.product(each, each)}


def waits_of(calls):
    """Returns the waits, each with the calls that overtook it."""
    sends = sorted(((at, call) for call in calls if (at := first_time(call.lines, "sent")) is not None), key=lambda send: send[0])
    times, competing, waits = [at for at, _ in sends], routes_with_common_upstreams(calls), []
    for call in calls:
        begins_at = first_time(call.lines, "waiting")
        if begins_at is None:
            continue
        sent_at = first_time(call.lines, "sent", begins_at)
        wait = Wait(call, begins_at, call.ended_at if sent_at is None else sent_at, sent_at is not None)
        for _, other in sends[bisect.bisect_right(times, begins_at):bisect.bisect_left(times, wait.ends_at)]:
            if other.started_at > call.started_at and (call.route, other.route) in competing:
                wait.overtaken_anywhere_by.append(other)
                if other.node == call.node:
                    wait.overtaken_by.append(other)
        waits.append(wait)
    return waits


def print_overtaken(where, waits, overtakers):
    overtaken = [wait for wait in waits if overtakers(wait)]
    routes = collections.Counter(other.route for wait in overtaken for other in overtakers(wait))
    print(f"    overtaken {where}: {len(overtaken)} calls, {routes.total()} pairs (by {counter_text(routes)}); "
          f"they waited ms {quantile_text(wait.duration() for wait in overtaken)}")


def print_order(calls, route=""):
    """Prints the waits by route, or those of one route only; calls of all routes may overtake them."""
    by_route = collections.defaultdict(list)
    for wait in waits_of(calls):
        if route in ("", wait.call.route):
            by_route[wait.call.route].append(wait)
    print(f"order of waiting calls, quantiles {' '.join(map(str, QUANTILES))}; a pair is a wait and a later call that was sent first")
    for name, waits in sorted(by_route.items()):
        ends = collections.Counter("sent" if wait.is_sent else wait.call.outcome for wait in waits)
        print(f"  {name}: {len(waits)} waited, ms {quantile_text(wait.duration() for wait in waits)}; ends: {counter_text(ends)}")
        print_overtaken("at the same VM", waits, lambda wait: wait.overtaken_by)
        print_overtaken("at any VM", waits, lambda wait: wait.overtaken_anywhere_by)


# -- customers -------------------------------------------------------------------------------------


def jain_index(values):
    """Returns Jain's index of fairness: 1 if all values are equal, 1/n if one has all."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def outcomes_by_customer(calls):
    """Returns the outcomes of each customer's calls; empty if the lines name no customer."""
    found = collections.defaultdict(collections.Counter)
    for call in calls:
        customer = next((line["customer"] for line in call.lines if line.get("customer")), None)
        if customer is not None:
            found[customer][call.outcome] += 1
    return found


def refused_count(outcomes):
    return sum(count for outcome, count in outcomes.items() if outcome.startswith("refused"))


def print_customers(calls):
    by_customer = outcomes_by_customer(calls)
    if not by_customer:
        return print("the lines name no customer: refusals by customer and Jain's index can't be told")
    rates = {customer: 1 - refused_count(outcomes) / outcomes.total() for customer, outcomes in by_customer.items()}
    for customer in sorted(rates, key=lambda each: (rates[each], each)):
        outcomes = by_customer[customer]
        print(f"  {customer}: {outcomes.total()} calls, refused {refused_count(outcomes)} ({100.0 * (1 - rates[customer]):.1f}%)")
    print(f"Jain's index of the parts that were not refused, {len(rates)} customers: {jain_index(rates.values()):.3f}")
