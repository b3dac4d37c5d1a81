"""Identifiers of the system; each is a distinct type over ``str`` or ``int``."""

from typing import NewType

AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
CustomerName = NewType("CustomerName", str)
DomainName = NewType("DomainName", str)
Epoch = NewType("Epoch", int)
FleetName = NewType("FleetName", str)
HostName = NewType("HostName", str)
Incarnation = NewType("Incarnation", str)
OrderNumber = NewType("OrderNumber", int)
PoolName = NewType("PoolName", str)
RequestId = NewType("RequestId", str)
TableVersion = NewType("TableVersion", int)
TargetName = NewType("TargetName", str)
WorkName = NewType("WorkName", str)
InstanceId = NewType("InstanceId", str)
ReplicaName = NewType("ReplicaName", str)
PartId = NewType("PartId", str)
Revision = NewType("Revision", int)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
