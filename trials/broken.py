"""Variants that break a promise on purpose: a check that none of its seeds or orders catches is none."""

from __future__ import annotations

from starlingwheel.fleet.cover import Covering, Item, State
from starlingwheel.fleet.frames import KEPT, Intent, Kept


class NoIntent(Covering):
    """Hand-offs go before their intents have been recorded."""

    def _let_go(self, item: Item) -> None:
        if item.state is State.OWNING:
            for number in list(item.waiting):
                del item.waiting[number]
                item.let_go = True
                self.door.go(item, number)


class NoEpoch(Covering):
    """A keeper goes on granting intents of an owner that it has taken over from."""

    def _intends(self, member: str, key: bytes, epoch: int, number: int, intent: Intent) -> None:
        item = self.items.get(key)
        if item is not None and item.state is State.KEEPING:
            item.intents[number:] = [intent]
        self.door.say(member, Kept(key, epoch, KEPT, number + 1))


class NoTelling(Covering):
    """A new home grants names before it has heard what is in hand."""

    def _steady(self, key: bytes) -> bool:
        return True


class LeaseTrusted(Covering):
    """A member takes over by what it knows, however long it was paused or cut off."""

    def may_decide(self) -> bool:
        return True

    def _take_over(self, item: Item) -> None:
        item.stale = False
        self.lately, self.settled = [self.view], True
        super()._take_over(item)


class Forgetful(Covering):
    """A new home is not told what was answered before."""

    def _tell_home(self, item: Item, home: str) -> None:
        pass


VARIANTS = [NoIntent, NoEpoch, NoTelling, LeaseTrusted, Forgetful]
