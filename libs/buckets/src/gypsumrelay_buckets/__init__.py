"""Token buckets with reservations that can be refunded in part."""

from gypsumrelay_buckets.bucket import (
    Bucket,
    BucketSize,
    available_at,
    available_tokens,
    refill,
    refund,
    reserve,
    resize,
)

__all__ = (
    'Bucket',
    'BucketSize',
    'available_at',
    'available_tokens',
    'refill',
    'refund',
    'reserve',
    'resize',
)
