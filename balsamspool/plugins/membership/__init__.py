"""Membership plug-in: the instances of the fleet and the states they report."""

from balsamspool.plugins.membership.instance import Instance, ListedState
from balsamspool.plugins.membership.plugin import MembershipPlugin
from balsamspool.plugins.membership.signals import Signal

__all__ = ["Instance", "ListedState", "MembershipPlugin", "Signal"]
